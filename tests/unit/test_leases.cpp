/// \file
/// Leases of a dispatcher whose role is not confirmed, and the wait of its
/// successor for their end.

#include "crashing_jobs.hpp"
#include "manual_dispatcher.hpp"
#include "section.hpp"

#include <jasminetrack/tasks/lease_bounds.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace support;

constexpr milliseconds second_ms = 1'000;
/// Without a heartbeat for this time, another node claims the role.
constexpr milliseconds claim_after_ms = 1'600;

class test_leases : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_leases);
    CPPUNIT_TEST(leases_end_with_the_proof_of_the_role);
    CPPUNIT_TEST(an_outage_of_the_log_for_all_ends_no_lease);
    CPPUNIT_TEST(nothing_is_started_without_a_proof_of_the_role);
    CPPUNIT_TEST(a_successor_outwaits_a_dispatcher_that_is_cut_off);
    CPPUNIT_TEST(random_cuts_violate_no_invariant);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against two runs of one task (TWICE): leases that outlast
    /// what a successor waits for.
    void leases_end_with_the_proof_of_the_role()
    {
        manual_dispatcher h;
        h.add_worker("w1", 1);
        auto const worker_started = h.now;
        h.submit("a", "batch");
        h.run_for(second_ms);
        expect(h.starts.size() == 1, "a task runs");
        h.stores = false;
        auto const confirmed = h.now;
        h.run_for(60 * second_ms);
        auto const bound = max_lease_after_proof(dispatch_limits{});
        milliseconds newest = 0;
        for (auto const& o : h.renewals.at("w1"))
            newest = std::max(newest, o.until_ms);
        section("no lease lasts beyond the bound",
                [&]
                {
                    expect(newest + worker_started <= confirmed + bound,
                           "the newest lease ends in time");
                });
        section("the worker is still asked for its runs",
                [&] {
                    expect(h.renewals.at("w1").back().until_ms == 0,
                           "without a lease");
                });
        section("leases are granted again with a new proof",
                [&]
                {
                    h.store_again();
                    h.run_for(second_ms);
                    expect(h.renewals.at("w1").back().until_ms > newest,
                           "a later end");
                });
    }

    void an_outage_of_the_log_for_all_ends_no_lease()
    {
        for (milliseconds const max_lease_ms : {6'000, 10'000})
            section("a platform with leases of " +
                        std::to_string(max_lease_ms) + " ms",
                    [&] { check_outage(max_lease_ms); });
    }

    /// Guards against two runs of one task (TWICE): a start by a dispatcher
    /// that may have been replaced.
    void nothing_is_started_without_a_proof_of_the_role()
    {
        manual_dispatcher h;
        h.add_worker("w1", 1);
        h.run_for(second_ms);
        h.stores = false;
        h.submit("a", "batch");
        h.run_for(60 * second_ms);
        section("a confirmation of the batch alone starts nothing",
                [&]
                {
                    h.confirm_batch();
                    h.run_for(second_ms);
                    expect(h.starts.empty(), "no start");
                });
        section("the task is started after a proof of the role",
                [&]
                {
                    h.store_again();
                    h.run_for(second_ms);
                    expect(h.starts.size() == 1, "started");
                });
    }

    /// Guards against two runs of one task while a region is cut off
    /// (TWICE, review/4): the dispatcher on one side renewed its leases
    /// without limit.
    void a_successor_outwaits_a_dispatcher_that_is_cut_off()
    {
        dispatch_simulation w(1);
        add_racks(w);
        w.submit("a", "batch", simple_job(4, 8), {60'000});
        w.run_for(second_ms);
        std::set<std::string> near;
        for (int i = 0; i < 8; ++i)
            if (auto const id = "w" + std::to_string(i);
                near.size() < 2 && w.running("a", id) > 0)
                near.insert(id);
        expect(near.size() == 2, "two workers with a task");
        w.cut_off_leader(near);
        w.run_for(claim_after_ms);
        w.take_over();
        section("the tasks beyond the cut are not started twice",
                [&]
                {
                    w.run_for(60 * second_ms);
                    expect_no_violations(w);
                });
        section("they are started again on the successor's side",
                [&]
                {
                    w.run_for(60 * second_ms);
                    expect(w.phase("a") == job_phase::completed, "completed");
                    expect(w.starts("a") == 6, "two tasks ran again");
                });
        w.end_cut();
        w.run_for(20 * second_ms);
        expect_no_violations(w);
    }

    void random_cuts_violate_no_invariant()
    {
        constexpr unsigned seeds = 60;
        for (unsigned seed = 1; seed <= seeds; ++seed)
            section("seed " + std::to_string(seed),
                    [&] { run_random_cuts(seed); });
    }

private:
    static void check_outage(milliseconds max_lease_ms)
    {
        constexpr milliseconds outage_ms = 8 * second_ms;
        dispatch_limits limits;
        limits.max_lease_ms = max_lease_ms;
        manual_dispatcher h(two_queues(), limits);
        h.add_worker("w1", 1);
        auto const worker_started = h.now;
        h.submit("a", "batch");
        h.run_for(second_ms);
        h.stores = false;
        h.outage_confirmed = true;
        for (milliseconds passed = 0; passed < outage_ms;
             passed += manual_dispatcher::step_ms)
        {
            h.run_for(manual_dispatcher::step_ms);
            expect(h.renewals.at("w1").back().until_ms + worker_started > h.now,
                   "the lease goes on " + std::to_string(passed) +
                       " ms after the start of the outage");
        }
    }

    static void run_random_cuts(unsigned seed)
    {
        std::mt19937 random(seed);
        auto const below = [&](int n)
        { return std::uniform_int_distribution<>(0, n - 1)(random); };
        dispatch_simulation w(seed, {0.02, 0.02, 0.02, 0.03});
        add_racks(w);
        for (int round = 0; round < 3; ++round)
        {
            for (int i = 0; i < 4; ++i)
            {
                auto spec = below(2) == 0 ? gang_job(1 + below(4), 1)
                                          : simple_job(1 + below(12), 2);
                w.submit("job" + std::to_string(round) + "." +
                             std::to_string(i),
                         below(3) == 0 ? "urgent" : "batch", spec,
                         {2'000 + below(40'000)});
            }
            w.run_for(500 + below(5'000));
            std::set<std::string> near;
            for (int i = 0; i < 8; ++i)
                if (below(3) == 0)
                    near.insert("w" + std::to_string(i));
            w.cut_off_leader(near);
            w.run_for(claim_after_ms + below(1'000));
            w.take_over();
            w.run_for(below(40'000));
            w.end_cut();
            w.run_for(below(5'000));
        }
        w.run_for(120 * second_ms);
        expect_no_violations(w);
        for (int round = 0; round < 3; ++round)
            for (int i = 0; i < 4; ++i)
                expect(is_final(w.phase("job" + std::to_string(round) + "." +
                                        std::to_string(i))),
                       "each job has reached a final phase");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_leases);

} // namespace
