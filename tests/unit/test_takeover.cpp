/// \file
/// A node takes the dispatcher's role before it has read the jobs. Until then
/// it renews leases and decides nothing.

#include "entry_cluster.hpp"
#include "section.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace support;
using entry::topic;
using tasks::milliseconds;

/// The first dispatcher of a cluster has the token 1.
constexpr std::int64_t successor_token = 2;

class test_takeover : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_takeover);
    CPPUNIT_TEST(tasks_that_end_before_the_jobs_are_read_do_not_run_again);
    CPPUNIT_TEST(the_role_is_handed_on_if_the_jobs_stay_unreadable);
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
                   [&] { return cluster.workers.lease_renewals(1) > 0; }),
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
