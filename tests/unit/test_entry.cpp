/// \file
/// Several entry nodes on an in-memory platform: dispatch by one of them,
/// take-over after a drain, and an outage of the log.

#include "entry_cluster.hpp"
#include "section.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <future>

namespace
{

using namespace jasminetrack;
using namespace jasminetrack::entry;
using support::batch_queue;
using support::cluster_timeout_ms;
using support::entry_cluster;
using support::expect;
using support::section;
using support::two_step_job;

class test_entry : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_entry);
    CPPUNIT_TEST(one_of_several_nodes_dispatches);
    CPPUNIT_TEST(a_successor_takes_over_a_drained_node);
    CPPUNIT_TEST(jobs_survive_an_outage_of_the_log);
    CPPUNIT_TEST(a_node_without_own_appends_knows_of_an_outage);
    CPPUNIT_TEST(a_removed_worker_is_not_used_after_a_restart);
    CPPUNIT_TEST(an_append_is_refused_if_no_path_reaches_the_log);
    CPPUNIT_TEST(a_paused_dispatcher_starts_nothing_on_an_old_confirmation);
    CPPUNIT_TEST(a_claim_that_is_confirmed_late_is_not_taken);
    CPPUNIT_TEST_SUITE_END();

public:
    void one_of_several_nodes_dispatches()
    {
        entry_cluster cluster(3);
        expect(cluster.wait_until_ready(), "ready");
        caller const who{"team", 3'000};
        for (int i = 0; i < 6; ++i)
        {
            auto const id = "job" + std::to_string(i);
            auto& node = *cluster.nodes[static_cast<std::size_t>(i % 3)];
            expect(node.requests().submit(who, batch_queue(), id,
                                          two_step_job()) ==
                       submit_result::accepted,
                   "accepted");
        }
        for (int i = 0; i < 6; ++i)
            expect(cluster.wait_for_completion("job" + std::to_string(i)),
                   "completed");
        section("each task was started once",
                [&]
                {
                    auto const starts = cluster.workers.starts();
                    expect(starts.size() == 36, "every task was started");
                    for (auto const& [task, count] : starts)
                        expect(count == 1, "no task was started twice");
                });
        section("only the dispatcher's metrics contain the jobs' durations",
                [&]
                {
                    int reporting_nodes = 0;
                    for (auto const& node : cluster.nodes)
                        if (node->metrics().find(
                                "jasminetrack_job_seconds_count{kind="
                                "\"ended\"} 6") != std::string::npos)
                            ++reporting_nodes;
                    expect(reporting_nodes == 1, "one node reports six jobs");
                });
        section("the dispatcher's appends have no gap in their sequences",
                [&]
                {
                    auto const records = cluster.log.size(topic::work);
                    expect(cluster.wait_until(
                               [&] {
                                   return cluster.log.size(topic::work) >
                                          records + 2;
                               }),
                           "the dispatcher continues to append");
                    // A claim that loses against another node's claim may
                    // count as a conflict.
                    expect(cluster.log.sequence_conflicts() <= 2,
                           "no conflicts apart from lost claims");
                });
    }

    void a_successor_takes_over_a_drained_node()
    {
        entry_cluster cluster(2);
        expect(cluster.wait_until_ready(), "ready");
        expect(cluster.submit("a"), "accepted");
        expect(cluster.wait_for_completion("a"), "completed");
        cluster.nodes[1]->drain();
        expect(!cluster.nodes[1]->is_ready(), "a draining node is not ready");
        expect(cluster.submit("b"), "accepted");
        expect(cluster.wait_for_completion("b"),
               "the other node completes the job");
    }

    void jobs_survive_an_outage_of_the_log()
    {
        entry_cluster cluster(2);
        caller const who{"team", 3'000};
        expect(cluster.wait_until_ready(), "ready");
        expect(cluster.submit("a"), "accepted");
        cluster.log.set_down(true);
        expect(cluster.nodes[0]->requests().submit(who, batch_queue(), "b",
                                                   two_step_job()) ==
                   submit_result::refused,
               "a submission during the outage is refused");
        cluster.log.set_down(false);
        expect(cluster.wait_for_completion("a"), "the accepted job completes");
        auto const find = [&]
        { return cluster.nodes[0]->requests().find_status("b").result; };
        expect(cluster.wait_until([&]
                                  { return find() != status_result::unknown; }),
               "the node can tell again");
        expect(find() == status_result::no_such_job,
               "the refused job does not exist");
    }

    /// Callers try one node after the other. If each node counted the outage
    /// from its own first append, each would ask its caller back at once.
    void a_node_without_own_appends_knows_of_an_outage()
    {
        constexpr milliseconds outage_ms = 3'000;
        entry_cluster cluster(2);
        expect(cluster.wait_until_ready(), "ready");
        expect(cluster.submit("a") && cluster.wait_for_completion("a"),
               "the log works");
        expect(cluster.nodes[1]->requests().log_outage() == 0, "no outage");
        cluster.log.refuse_appends(true);
        auto const begun = runtime::monotonic_ms();
        expect(cluster.wait_until(
                   [&] { return runtime::monotonic_ms() - begun > outage_ms; }),
               "the outage lasts");
        expect(!cluster.submit("b"), "refused");
        for (auto const& node : cluster.nodes)
            expect(node->requests().log_outage() >= outage_ms / 2,
                   "every node knows how long it has lasted");
        section("a node that cannot read the log sends its callers on",
                [&]
                {
                    cluster.log.set_down(true);
                    for (auto const& node : cluster.nodes)
                        expect(
                            cluster.wait_until(
                                [&]
                                { return node->requests().log_outage() == 0; }),
                            "other nodes may serve them at once");
                });
    }

    /// A new process reads the list of workers from the log, where older
    /// entries of a worker that has left may still be readable.
    void a_removed_worker_is_not_used_after_a_restart()
    {
        entry_cluster cluster(1);
        expect(cluster.wait_until_ready(), "ready");
        cluster.nodes[0]->stop();
        cluster.log.put(topic::workers, "w0", "");
        cluster.log.put(topic::workers, "w1", "");
        cluster.add_node("restarted");
        cluster.nodes.erase(cluster.nodes.begin());
        expect(cluster.wait_until_ready(), "ready after the restart");
        expect(cluster.submit("a"), "accepted");
        expect(cluster.wait_for_completion("a"), "completed");
        expect(cluster.workers.used_workers() == std::set<std::string>{"w2"},
               "only on the worker that is left");
    }

    void an_append_is_refused_if_no_path_reaches_the_log()
    {
        support::memory_log log;
        log.set_down(true);
        runtime::http_client client;
        peer_directory peers("self");
        peers.put("other", "127.0.0.1:1");
        relayed_log relayed(log, client, peers);
        append_call call;
        call.topic = topic::jobs;
        call.records.push_back({"key", "value"});
        call.timeout_ms = cluster_timeout_ms;
        std::promise<append_answer> answer;
        relayed.append(call,
                       [&](append_answer const& a) { answer.set_value(a); });
        expect(answer.get_future().get().result == append_result::refused,
               "neither the direct path nor a peer stored the record");
    }

    /// While a process is paused, another node may take the role over. A
    /// confirmation that the process handles after the pause is from before
    /// that.
    void a_paused_dispatcher_starts_nothing_on_an_old_confirmation()
    {
        constexpr milliseconds pause_ms = 2'000;
        entry_cluster cluster(1);
        expect(cluster.wait_until_ready(), "ready");
        expect(cluster.submit("a"), "accepted");
        expect(cluster.wait_for_completion("a"), "the node dispatches");
        cluster.log.delay_append_answers(topic::work, pause_ms);
        expect(cluster.submit("b"), "accepted");
        auto const repeated = cluster.log.repeated_appends();
        expect(cluster.wait_until(
                   [&]
                   {
                       return cluster.log.repeated_appends() > repeated ||
                              cluster.workers.starts().count({"b", 0, 0, 0}) !=
                                  0;
                   }),
               "the confirmation is handled");
        expect(cluster.workers.starts().count({"b", 0, 0, 0}) == 0,
               "nothing is started");
        cluster.log.delay_append_answers(topic::work, 0);
        expect(cluster.wait_for_completion("b"),
               "started after a new confirmation");
    }

    /// Another node may have claimed the role since.
    void a_claim_that_is_confirmed_late_is_not_taken()
    {
        constexpr milliseconds pause_ms = 2'000;
        entry_cluster cluster(0);
        cluster.log.delay_append_answers(topic::work, pause_ms);
        cluster.add_node("node0");
        auto const has_taken_role = [&]
        {
            return cluster.nodes[0]->metrics().find(
                       "jasminetrack_takeovers_total 0") == std::string::npos;
        };
        expect(cluster.wait_until(
                   [&] { return cluster.log.size(topic::work) > 1; }),
               "the node appends again");
        expect(!has_taken_role(), "a new claim, as the first one is too old");
        cluster.log.delay_append_answers(topic::work, 0);
        expect(cluster.wait_until(has_taken_role), "it takes the role later");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_entry);

} // namespace
