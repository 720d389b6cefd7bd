/// \file
/// A node whose reads of the log are silent. It must not answer that a job, a
/// queue or a key does not exist, since others may have added it meanwhile.

#include "entry_cluster.hpp"
#include "section.hpp"

#include <jasminetrack/platform/adapter.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace support;
using runtime::http_response;
using tasks::milliseconds;

constexpr char const* job_id = "00000000000000a1";
constexpr char const* unknown_id = "00000000000000ff";

/// Two nodes, of which the second can be cut off from reading the log.
class half_cut_cluster
{
public:
    half_cut_cluster() : path(cluster.add_silent_node("cut"))
    {
        expect(cluster.wait_until(
                   [&] {
                       return cluster.nodes[0]->is_ready() &&
                              cluster.nodes[1]->is_ready();
                   }),
               "both nodes are ready");
        expect(cluster.submit("first") && cluster.wait_for_completion("first"),
               "one of them dispatches");
    }

    /// Sends a request to the node that can be cut off.
    http_response send(std::string const& method, std::string const& path_of,
                       std::string const& key = "key")
    {
        return platform::handle_request(*cluster.nodes[1],
                                        make_request(method, path_of, key));
    }

    /// Sends a request to the other node.
    http_response send_elsewhere(std::string const& method,
                                 std::string const& path_of)
    {
        return platform::handle_request(*cluster.nodes[0],
                                        make_request(method, path_of, "key"));
    }

    /// Submits a job at the node that can be cut off.
    entry::submit_result submit_at_cut_node(std::string const& id)
    {
        entry::caller const who{"team", 3'000};
        return cluster.nodes[1]->requests().submit(who, batch_queue(), id,
                                                   two_step_job());
    }

    static runtime::http_request make_request(std::string const& method,
                                              std::string const& path_of,
                                              std::string const& key)
    {
        runtime::http_request r;
        r.method = method;
        r.path = path_of;
        r.headers = {{"host", "h"}, {"x-api-key", key}};
        return r;
    }

    /// Waits until the views of a node that cannot read are old.
    void wait_for_old_views()
    {
        constexpr milliseconds old_ms = 2'600;
        auto const begun = runtime::monotonic_ms();
        expect(cluster.wait_until(
                   [&] { return runtime::monotonic_ms() - begun > old_ms; }),
               "the views are old");
    }

    entry_cluster cluster{1, 400};
    silent_log& path;
};

void expect_retry_later(http_response const& r, std::string const& what)
{
    expect(r.status == 503, what + " is refused, got " +
                                std::to_string(r.status) + " " + r.body);
    expect(r.headers.count("Retry-After") == 1, what + " says when to return");
}

/// \returns the value of a gauge without labels.
int gauge_of(entry::entry_node const& node, std::string const& name)
{
    auto const line = "\n" + name + " ";
    auto const text = node.metrics();
    auto const at = text.find(line);
    expect(at != std::string::npos, name + " is a gauge");
    return std::stoi(text.substr(at + line.size()));
}

bool is_dispatcher(entry::entry_node const& node)
{
    return gauge_of(node, "jasminetrack_dispatcher") != 0;
}

int stops_of(entry::entry_node const& node)
{
    return gauge_of(node, "jasminetrack_stops_total");
}

int starts_of(entry_cluster const& cluster, std::string const& job)
{
    int sum = 0;
    for (auto const& [task, count] : cluster.workers.starts())
        sum += task.job == job ? count : 0;
    return sum;
}

void wait(milliseconds duration)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(duration));
}

class test_old_views : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_old_views);
    CPPUNIT_TEST(a_job_accepted_elsewhere_is_not_denied);
    CPPUNIT_TEST(a_silent_long_poll_does_not_hide_a_job);
    CPPUNIT_TEST(an_old_count_is_not_given);
    CPPUNIT_TEST(an_old_configuration_denies_nothing);
    CPPUNIT_TEST(a_cancelled_job_that_is_stored_late_does_not_run);
    CPPUNIT_TEST(a_dispatcher_that_cannot_read_the_jobs_starts_nothing);
    CPPUNIT_TEST(a_cancellation_that_was_not_read_stops_tasks_afterwards);
    CPPUNIT_TEST(the_first_of_two_submissions_applies_on_every_node);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against accepted jobs that are denied (LOST) and cancelled ones
    /// that run on (UNASKED, review/5).
    void a_job_accepted_elsewhere_is_not_denied()
    {
        half_cut_cluster c;
        std::string const path = std::string("/b/") + job_id;
        c.path.set_silence(silence::all_reads);
        expect(c.cluster.submit(job_id), "accepted by the other node");
        expect_retry_later(c.send("DELETE", path), "a cancellation");
        expect_retry_later(c.send("GET", path), "a status request");
        section("the node answers once it can read again",
                [&]
                {
                    c.path.set_silence(silence::none);
                    expect(c.cluster.wait_until(
                               [&]
                               { return c.send("GET", path).status == 200; }),
                           "it knows the job");
                    expect(c.send("DELETE", path).status == 200,
                           "it cancels the job");
                });
        section("a job that nobody has submitted is denied",
                [&]
                {
                    auto const unknown = std::string("/b/") + unknown_id;
                    expect(c.send("GET", unknown).status == 410, "status");
                    expect(c.send("DELETE", unknown).status == 410, "cancel");
                });
    }

    void a_silent_long_poll_does_not_hide_a_job()
    {
        half_cut_cluster c;
        c.path.set_silence(silence::long_polls);
        expect(c.cluster.submit(job_id), "accepted by the other node");
        auto const answer = c.send("DELETE", std::string("/b/") + job_id);
        expect(answer.status == 200,
               "cancelled, got " + std::to_string(answer.status));
    }

    /// Guards against tasks of a cancelled job (UNASKED): its submission had an
    /// unknown outcome, the cancellation elsewhere was answered that there is
    /// no such job, and the append was carried out later.
    void a_cancelled_job_that_is_stored_late_does_not_run()
    {
        half_cut_cluster c;
        std::string const path = std::string("/b/") + job_id;
        c.path.lose_appends(entry::topic::jobs, true);
        expect(c.submit_at_cut_node(job_id) == entry::submit_result::unknown,
               "the outcome is unknown");
        expect(c.send_elsewhere("DELETE", path).status == 410,
               "no such job is stored");
        c.path.lose_appends(entry::topic::jobs, false);
        expect(c.cluster.wait_until(
                   [&] { return c.send("GET", path).status == 200; }),
               "the append is repeated");
        expect(c.cluster.submit("next") &&
                   c.cluster.wait_for_completion("next"),
               "a later job is done");
        section("no task of it has started",
                [&]
                {
                    for (auto const& [task, count] : c.cluster.workers.starts())
                        expect(task.job != job_id, "started");
                });
        section("it is shown as cancelled",
                [&]
                {
                    expect(c.send("GET", path).body.find("cancelled") !=
                               std::string::npos,
                           c.send("GET", path).body);
                });
    }

    /// Guards against starts for a job whose cancellation was acknowledged by
    /// another node (UNASKED, issue 50): the dispatcher cannot read the jobs,
    /// but holds its role.
    void a_dispatcher_that_cannot_read_the_jobs_starts_nothing()
    {
        constexpr milliseconds run_ms = 4'000;
        entry_cluster c(0, run_ms);
        auto& path = c.add_silent_node("dispatcher");
        expect(c.wait_until([&] { return is_dispatcher(*c.nodes[0]); }),
               "it dispatches");
        c.add_silent_node("other");
        expect(c.wait_until([&] { return c.nodes[1]->is_ready(); }),
               "the other node is ready");
        expect(c.submit(job_id), "accepted");
        expect(c.wait_until([&] { return starts_of(c, job_id) == 3; }),
               "the first step runs");
        path.set_silence(entry::topic::jobs, silence::all_reads);
        expect(c.nodes[1]->requests().cancel({"team", 3'000}, job_id) ==
                   entry::cancel_result::cancelled,
               "cancelled at the other node");
        section("the second step is not started",
                [&]
                {
                    wait(run_ms + 1'500);
                    expect(is_dispatcher(*c.nodes[0]), "it holds the role");
                    expect(starts_of(c, job_id) == 3, "no further start");
                });
        section("a job that was not cancelled goes on afterwards",
                [&]
                {
                    path.set_silence(silence::none);
                    expect(c.wait_until([&] { return c.submit("next"); }),
                           "accepted once its appends are direct again");
                    expect(
                        c.wait_until([&] { return starts_of(c, "next") == 3; }),
                        "started");
                    expect(starts_of(c, job_id) == 3, "no further start");
                });
    }

    /// Guards against tasks of a cancelled job that run on (UNASKED).
    void a_cancellation_that_was_not_read_stops_tasks_afterwards()
    {
        constexpr milliseconds run_ms = 60'000;
        entry_cluster c(0, run_ms);
        auto& path = c.add_silent_node("dispatcher");
        expect(c.wait_until([&] { return is_dispatcher(*c.nodes[0]); }),
               "it dispatches");
        c.add_silent_node("other");
        expect(c.wait_until([&] { return c.nodes[1]->is_ready(); }),
               "the other node is ready");
        expect(c.submit(job_id) &&
                   c.wait_until([&] { return starts_of(c, job_id) == 3; }),
               "the first step runs");
        path.set_silence(entry::topic::jobs, silence::all_reads);
        expect(c.nodes[1]->requests().cancel({"team", 3'000}, job_id) ==
                   entry::cancel_result::cancelled,
               "cancelled at the other node");
        wait(2'600);
        expect(stops_of(*c.nodes[0]) == 0, "not known yet");
        auto const back = runtime::monotonic_ms();
        path.set_silence(silence::none);
        expect(c.wait_until([&] { return stops_of(*c.nodes[0]) >= 3; }),
               "the tasks are stopped");
        expect(runtime::monotonic_ms() - back < 1'000, "soon");
    }

    /// Guards against starts of what another submission of the id asked for
    /// (UNASKED): two nodes accept it before they have read each other's.
    void the_first_of_two_submissions_applies_on_every_node()
    {
        entry_cluster c(0, 400);
        auto& path = c.add_silent_node("dispatcher");
        expect(c.wait_until([&] { return is_dispatcher(*c.nodes[0]); }),
               "it dispatches");
        c.add_silent_node("other");
        expect(c.wait_until([&] { return c.nodes[1]->is_ready(); }),
               "the other node is ready");
        path.set_silence(entry::topic::jobs, silence::all_reads);
        auto single_task = two_step_job();
        single_task.steps.resize(1);
        single_task.steps[0].count = 1;
        expect(c.nodes[1]->requests().submit({"team", 3'000}, batch_queue(),
                                             job_id, single_task) ==
                   entry::submit_result::accepted,
               "accepted by the other node");
        expect(c.wait_until([&] { return c.submit(job_id); }),
               "accepted by the dispatcher, with more tasks");
        path.set_silence(silence::none);
        expect(c.wait_for_completion(job_id), "completed");
        expect(starts_of(c, job_id) == 1, "one task was started");
    }

    void an_old_count_is_not_given()
    {
        half_cut_cluster c;
        expect(c.send("GET", "/b/").status == 200, "counted");
        c.path.set_silence(silence::all_reads);
        c.wait_for_old_views();
        expect_retry_later(c.send("GET", "/b/"), "a count");
    }

    void an_old_configuration_denies_nothing()
    {
        half_cut_cluster c;
        auto const path = std::string("/b/") + unknown_id;
        expect(c.send("GET", "/new/").status == 404, "no such queue");
        expect(c.send("GET", path, "new").status == 401, "no such key");
        c.path.set_silence(silence::all_reads);
        c.wait_for_old_views();
        expect_retry_later(c.send("GET", "/new/"), "an unknown queue");
        expect_retry_later(c.send("GET", path, "new"), "an unknown key");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_old_views);

} // namespace
