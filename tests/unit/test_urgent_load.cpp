/// \file
/// Tests urgent work while work of lower priority uses all workers.

#include "dispatch_simulation.hpp"
#include "manual_dispatcher.hpp"
#include "section.hpp"
#include "small_jobs.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace support;

constexpr milliseconds max_reclaim_ms = 3'400;

class test_urgent_load : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_urgent_load);
    CPPUNIT_TEST(lost_stop_is_replaced_by_another_worker);
    CPPUNIT_TEST(unreachable_worker_does_not_delay_a_reclaim);
    CPPUNIT_TEST(runs_with_checkpoints_are_stopped_first);
    CPPUNIT_TEST(last_attempt_uses_a_verified_worker);
    CPPUNIT_TEST(completed_gang_member_does_not_count_as_hanging);
    CPPUNIT_TEST(growing_burst_finds_headroom);
    CPPUNIT_TEST(slow_workers_get_no_urgent_work);
    CPPUNIT_TEST(gang_waits_for_a_rack_that_is_soon_free);
    CPPUNIT_TEST_SUITE_END();

public:
    void lost_stop_is_replaced_by_another_worker()
    {
        manual_dispatcher h;
        h.add_worker("w1", 1);
        h.add_worker("w2", 1);
        h.run_for(500);
        h.submit("a", "batch");
        h.submit("b", "batch");
        h.run_for(500);
        expect(h.starts.size() == 2, "both workers are in use");
        h.submit("urgent", "urgent");
        h.run_for(max_reclaim_ms / 2);
        std::set<std::string> stopped;
        for (auto const& stop : h.stops)
            stopped.insert(stop.worker);
        expect(stopped.size() == 2, "the other worker is stopped as well");
    }

    void unreachable_worker_does_not_delay_a_reclaim()
    {
        dispatch_simulation w(21);
        add_racks(w);
        w.submit("batch", "batch", simple_job(64, 1), {60'000});
        w.run_for(2'000);
        auto const submitted = w.now();
        w.submit("urgent", "urgent", gang_job(2, 8));
        w.run_for(60);
        expect(w.running("batch") == 64, "the stops have not completed");
        for (int i = 0; i < 4; ++i)
            w.disconnect_worker("w" + std::to_string(i), true);
        w.run_for(max_reclaim_ms);
        expect(w.begun_at("urgent") >= 0 &&
                   w.begun_at("urgent") - submitted <= max_reclaim_ms,
               "started elsewhere within the bound");
        expect(w.violations().empty(), "no invariant is violated");
    }

    void runs_with_checkpoints_are_stopped_first()
    {
        dispatch_simulation w(22);
        add_racks(w);
        auto saves = simple_job(32, 1);
        saves.steps[0].checkpoints = true;
        w.submit("saves", "batch", saves, {60'000});
        w.run_for(7'000);
        w.submit("plain", "batch", simple_job(32, 1), {60'000});
        w.run_for(300);
        expect(w.running("saves") == 32 && w.running("plain") == 32,
               "all workers are in use");
        w.submit("urgent", "urgent", simple_job(4, 8), {1'000});
        w.run_for(max_reclaim_ms);
        expect(w.starts("plain") == 32 && w.running("plain") == 32,
               "the tasks without checkpoints continue, though they have run "
               "for less time");
        expect(w.phase("urgent") == job_phase::completed,
               "the urgent job completed");
    }

    /// Half of the workers fail all their runs but appear healthy.
    void last_attempt_uses_a_verified_worker()
    {
        int failed = 0;
        for (unsigned seed = 1; seed <= 20; ++seed)
        {
            dispatch_simulation w(seed);
            add_racks(w);
            for (auto const* id : {"w1", "w3", "w5", "w7"})
                w.fail_worker(id, true);
            for (int i = 0; i < 6; ++i)
            {
                w.submit("gang" + std::to_string(i), "batch", gang_job(3, 4));
                w.run_for(300);
            }
            w.run_for(20'000);
            for (int i = 0; i < 6; ++i)
                failed +=
                    w.phase("gang" + std::to_string(i)) == job_phase::failed;
        }
        // Without verified workers, most jobs would fail in all three attempts.
        expect(failed == 0, std::to_string(failed) + " of 120 jobs failed");
    }

    void completed_gang_member_does_not_count_as_hanging()
    {
        manual_dispatcher h;
        h.add_worker("w1", 1);
        h.add_worker("w2", 1);
        h.run_for(500);
        h.submit("gang", "batch", 2);
        h.run_for(500);
        expect(h.starts.size() == 2, "both members run");
        section("a member that has completed its work waits",
                [&]
                {
                    h.percents["w1"] = 100;
                    for (int i = 2; i < 60; ++i)
                    {
                        h.percents["w2"] = i;
                        h.run_for(200);
                    }
                    expect(h.stops.empty(), "the gang continues");
                });
        section("a member without progress before that hangs",
                [&]
                {
                    h.run_for(10'000);
                    expect(!h.stops.empty(), "the gang is stopped");
                });
    }

    void growing_burst_finds_headroom()
    {
        dispatch_simulation w(24);
        add_racks(w);
        w.submit("batch", "batch", simple_job(200, 1), {3'000});
        w.run_for(2'000);
        w.submit("first", "urgent", simple_job(16, 1), {1'000});
        w.run_for(2'500);
        expect(w.phase("first") == job_phase::completed,
               "completed after stops");
        auto const stops = w.ended(run_end::stopped);
        w.submit("second", "urgent", simple_job(20, 1), {1'000});
        w.run_for(2'000);
        expect(w.phase("second") == job_phase::completed,
               "completed without delay");
        expect(w.ended(run_end::stopped) == stops, "no run was stopped");
    }

    void slow_workers_get_no_urgent_work()
    {
        dispatch_simulation w(23);
        add_racks(w);
        for (auto const* id : {"w0", "w1", "w4", "w5"})
            w.slow_worker(id, 1.6);
        for (int i = 0; i < 8; ++i)
        {
            w.submit("batch" + std::to_string(i), "batch", simple_job(64, 1),
                     {1'000});
            w.run_for(2'500);
        }
        w.submit("urgent", "urgent", simple_job(4, 8), {2'000});
        w.run_for(2'500);
        expect(w.phase("urgent") == job_phase::completed,
               "completed in time on workers of usual speed");
    }

    /// On two racks the gang would take three times as long.
    void gang_waits_for_a_rack_that_is_soon_free()
    {
        dispatch_simulation w(25);
        add_racks(w);
        w.run_for(500);
        auto rack_gang = gang_job(3, 8);
        rack_gang.steps[0].same_rack = true;
        w.submit("first", "urgent", rack_gang, {1'200});
        w.submit("second", "urgent", rack_gang, {1'200});
        w.run_for(100);
        expect(w.running("first") + w.running("second") == 6,
               "one worker is free in each rack");
        rack_gang.steps[0].count = 2;
        w.submit("third", "urgent", rack_gang, {1'000});
        w.run_for(600);
        expect(w.running("third") == 0, "the gang waits");
        w.run_for(2'400);
        expect(w.phase("third") == job_phase::completed,
               "completed earlier than on two racks");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_urgent_load);

} // namespace
