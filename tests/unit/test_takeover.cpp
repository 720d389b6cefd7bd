/// \file
/// A node takes the dispatcher's role before it has read the jobs. Until then
/// it renews leases and decides nothing. Guards against tasks that run again
/// after they had ended (TWICE, review/3).

#include "dispatch_simulation.hpp"
#include "entry_cluster.hpp"
#include "section.hpp"
#include "small_jobs.hpp"

#include <jasminetrack/tasks/fencing.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace support;
using entry::topic;

/// Tokens of the first two dispatchers of a cluster.
constexpr std::int64_t first_token = next_epoch(0);
constexpr std::int64_t successor_token = next_epoch(first_token);

/// A dispatcher with one worker that lists the same run and end each time.
class one_worker_dispatcher
{
public:
    one_worker_dispatcher() : dispatcher_(2, {}, now, nullptr)
    {
        dispatcher_.set_configuration(two_queues());
        dispatcher_.await_jobs();
        worker_info w;
        w.id = w.address = "w1";
        w.service = "service";
        w.capacity = {64'000, 128'000, 8};
        w.incarnation = 1;
        dispatcher_.put_worker(now, w);
    }

    void run_for(milliseconds ms)
    {
        for (auto const until = now + ms; now < until; now += 50)
        {
            dispatcher_.tick(now, now);
            for (auto const& a : dispatcher_.take_actions())
            {
                if (auto const* renewal = std::get_if<renew_order>(&a))
                    answer(*renewal);
                if (std::holds_alternative<stop_order>(a))
                    ++stops;
                if (auto const* store = std::get_if<store_order>(&a))
                    dispatcher_.on_stored(now, store->batch);
            }
        }
    }

    void read_jobs()
    {
        dispatcher_.on_jobs_read(now);
    }

    milliseconds now = 100'000;
    int stops = 0;
    std::vector<renew_order> renewals;

private:
    void answer(renew_order const& o)
    {
        renewals.push_back(o);
        renew_reply r;
        r.worker = o.worker;
        r.token = o.token;
        r.result = call_result::done;
        r.incarnation = 1;
        r.clock_ms = now;
        r.running.push_back({{{"unknown", 0, 0, 0}, 1}, "", 1});
        if (o.last_seen < 5)
            r.ended.push_back(
                {5, {{"unknown", 0, 0, 1}, 1}, run_end::done, ""});
        dispatcher_.on_renew(now, r);
    }

    dispatcher dispatcher_;
};

class test_takeover : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_takeover);
    CPPUNIT_TEST(tasks_that_end_before_the_jobs_are_read_do_not_run_again);
    CPPUNIT_TEST(the_role_is_handed_on_if_the_jobs_stay_unreadable);
    CPPUNIT_TEST(an_unknown_run_is_stopped_only_once_the_jobs_are_read);
    CPPUNIT_TEST(late_jobs_violate_no_invariant);
    CPPUNIT_TEST_SUITE_END();

public:
    void tasks_that_end_before_the_jobs_are_read_do_not_run_again()
    {
        // Longer than a node takes to stop.
        constexpr milliseconds run_ms = 4'000;
        entry_cluster cluster(1, run_ms);
        expect(cluster.wait_until_ready(), "ready");
        expect(cluster.submit("a"), "accepted");
        expect(cluster.wait_until(
                   [&] { return cluster.workers.starts().size() == 3; }),
               "the first step was started");
        cluster.nodes[0]->stop();
        auto& path = cluster.add_silent_node("successor", silence::all_reads);
        cluster.nodes.erase(cluster.nodes.begin());
        section(
            "the successor keeps the leases and its role",
            [&]
            {
                expect(
                    cluster.wait_until(
                        [&]
                        { return cluster.workers.unacknowledged_ends() == 3; }),
                    "the runs end");
                expect_renewals(cluster);
                expect(cluster.workers.unacknowledged_ends() == 3,
                       "no end is acknowledged");
                expect(cluster.workers.starts().size() == 3,
                       "nothing is started");
            });
        section("the ends count once the job was read",
                [&]
                {
                    path.set_silence(topic::jobs, silence::none);
                    expect(cluster.wait_for_completion("a"), "completed");
                    auto const starts = cluster.workers.starts();
                    expect(starts.size() == 6, "every task was started");
                    for (auto const& [task, count] : starts)
                        expect(count == 1, "no task was started twice");
                });
    }

    void an_unknown_run_is_stopped_only_once_the_jobs_are_read()
    {
        constexpr milliseconds lease_ms = 6'000;
        one_worker_dispatcher d;
        d.run_for(20'000);
        section("before, its lease is kept and nothing else is done",
                [&]
                {
                    expect(d.stops == 0, "no stop");
                    expect(d.renewals.size() > 5, "renewals");
                    for (std::size_t i = 2; i < d.renewals.size(); ++i)
                        expect(d.renewals[i - 1].until_ms + lease_ms >
                                   d.renewals[i].until_ms + 2'500,
                               "each lease is renewed well before its end");
                    for (auto const& r : d.renewals)
                        expect(r.last_seen == 0, "no end is acknowledged");
                });
        section("afterwards, no job to come can be its job",
                [&]
                {
                    d.read_jobs();
                    d.run_for(3'000);
                    expect(d.stops > 0, "stopped");
                    expect(d.renewals.back().last_seen == 5, "acknowledged");
                });
    }

    void late_jobs_violate_no_invariant()
    {
        constexpr unsigned seeds = 40;
        for (unsigned seed = 1; seed <= seeds; ++seed)
            section("seed " + std::to_string(seed),
                    [&] { take_over_with_late_jobs(seed); });
    }

    /// Dispatchers are replaced again and again, and each has the jobs some
    /// seconds after it has begun.
    static void take_over_with_late_jobs(unsigned seed)
    {
        constexpr milliseconds max_read_ms = 9'000;
        std::mt19937 random(seed);
        auto const below = [&](int n)
        { return std::uniform_int_distribution<>(0, n - 1)(random); };
        dispatch_simulation w(seed);
        add_racks(w);
        w.read_jobs_late(max_read_ms);
        int jobs = 0;
        for (int i = 0; i < 12; ++i)
        {
            for (int more = below(3); more >= 0; --more)
                w.submit("job" + std::to_string(jobs++), "batch",
                         simple_job(2, 1), {200 + below(3'000)});
            w.run_for(below(6'000));
            if (below(2) == 0)
            {
                w.kill_leader();
                w.run_for(below(2'000));
            }
            w.take_over();
        }
        w.run_for(60'000);
        for (int i = 0; i < jobs; ++i)
            expect(w.phase("job" + std::to_string(i)) == job_phase::completed,
                   "every job is completed");
        expect(w.ended(run_end::lapsed) == 0, "no lease has lapsed");
        expect(w.violations().empty(),
               w.violations().empty() ? "" : w.violations().front().text);
    }

    /// Waits for renewals of each worker and for heartbeats.
    static void expect_renewals(entry_cluster& cluster)
    {
        constexpr int renewals = 6;
        auto const renewed = cluster.workers.lease_renewals(successor_token);
        auto const records = cluster.log.size(topic::work);
        expect(cluster.wait_until(
                   [&]
                   {
                       return cluster.workers.lease_renewals(successor_token) >=
                              renewed + renewals;
                   }),
               "leases are renewed");
        expect(cluster.wait_until(
                   [&] { return cluster.log.size(topic::work) > records + 1; }),
               "heartbeats are written");
    }

    void the_role_is_handed_on_if_the_jobs_stay_unreadable()
    {
        entry_cluster cluster(0);
        cluster.add_silent_node("blind", silence::all_reads);
        expect(cluster.wait_until(
                   [&]
                   { return cluster.workers.lease_renewals(first_token) > 0; }),
               "the only node dispatches");
        cluster.add_node("other");
        std::swap(cluster.nodes[0], cluster.nodes[1]);
        expect(cluster.wait_until_ready(), "the other node is ready");
        expect(cluster.submit("a"), "accepted");
        (void)cluster.wait_for_completion("a"); // a first part of the time
        expect(cluster.wait_for_completion("a"), "completed by the other node");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_takeover);

} // namespace
