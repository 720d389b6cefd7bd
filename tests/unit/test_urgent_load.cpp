/// \file
/// What callers of urgent work get while everything is lent to other work.

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
    CPPUNIT_TEST(a_stop_that_was_lost_is_not_waited_for);
    CPPUNIT_TEST(a_worker_that_does_not_stop_is_not_waited_for);
    CPPUNIT_TEST(what_saves_its_progress_is_stopped_first);
    CPPUNIT_TEST(a_last_attempt_goes_where_runs_end_done);
    CPPUNIT_TEST(a_fast_member_waits_for_the_slow_ones);
    CPPUNIT_TEST(a_burst_that_grows_finds_room);
    CPPUNIT_TEST(slow_workers_are_left_to_what_has_time);
    CPPUNIT_TEST(a_gang_waits_for_a_rack_that_is_soon_free);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_stop_that_was_lost_is_not_waited_for()
    {
        manual_dispatcher h;
        h.add_worker("w1", 1);
        h.add_worker("w2", 1);
        h.run_for(500);
        h.submit("a", "batch");
        h.submit("b", "batch");
        h.run_for(500);
        expect(h.starts.size() == 2, "both workers are taken");
        h.submit("urgent", "urgent");
        h.run_for(max_reclaim_ms / 2);
        std::set<std::string> stopped;
        for (auto const& stop : h.stops)
            stopped.insert(stop.worker);
        expect(stopped.size() == 2, "the other worker is asked as well");
    }

    void a_worker_that_does_not_stop_is_not_waited_for()
    {
        dispatch_simulation w(21);
        add_racks(w);
        w.submit("batch", "batch", simple_job(64, 1), {60'000});
        w.run_for(2'000);
        auto const asked = w.now();
        w.submit("urgent", "urgent", gang_job(2, 8));
        w.run_for(60);
        expect(w.running("batch") == 64, "stops are on their way");
        for (int i = 0; i < 4; ++i)
            w.disconnect_worker("w" + std::to_string(i), true);
        w.run_for(max_reclaim_ms);
        expect(w.begun_at("urgent") >= 0 &&
                   w.begun_at("urgent") - asked <= max_reclaim_ms,
               "begun elsewhere within the bound");
        expect(w.violations().empty(), "nothing ran twice");
    }

    void what_saves_its_progress_is_stopped_first()
    {
        dispatch_simulation w(22);
        add_racks(w);
        auto saves = simple_job(32, 1);
        saves.steps[0].checkpoints = true;
        w.submit("saves", "batch", saves, {60'000});
        w.run_for(7'000);
        w.submit("plain", "batch", simple_job(32, 1), {60'000});
        w.run_for(300);
        expect(w.running("saves") == 32 && w.running("plain") == 32, "full");
        w.submit("urgent", "urgent", simple_job(4, 8), {1'000});
        w.run_for(max_reclaim_ms);
        expect(w.starts("plain") == 32 && w.running("plain") == 32,
               "the plain tasks go on, though they are younger");
        expect(w.phase("urgent") == job_phase::completed, "done");
    }

    /// Half of the workers fail all that they start; nothing shows it.
    void a_last_attempt_goes_where_runs_end_done()
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
        // Three attempts in a row at a worker that fails would be most jobs.
        expect(failed == 0, std::to_string(failed) + " of 120 jobs lost");
    }

    void a_fast_member_waits_for_the_slow_ones()
    {
        manual_dispatcher h;
        h.add_worker("w1", 1);
        h.add_worker("w2", 1);
        h.run_for(500);
        h.submit("gang", "batch", 2);
        h.run_for(500);
        expect(h.starts.size() == 2, "both run");
        section("one that has done its part does not hang",
                [&]
                {
                    h.percents["w1"] = 100;
                    for (int i = 2; i < 60; ++i)
                    {
                        h.percents["w2"] = i;
                        h.run_for(200);
                    }
                    expect(h.stops.empty(), "the gang goes on");
                });
        section("one that stands still before does",
                [&]
                {
                    h.run_for(10'000);
                    expect(!h.stops.empty(), "the gang is stopped");
                });
    }

    void a_burst_that_grows_finds_room()
    {
        dispatch_simulation w(24);
        add_racks(w);
        w.submit("batch", "batch", simple_job(200, 1), {3'000});
        w.run_for(2'000);
        w.submit("first", "urgent", simple_job(16, 1), {1'000});
        w.run_for(2'500);
        expect(w.phase("first") == job_phase::completed, "by stops");
        auto const stops = w.ended(run_end::stopped);
        w.submit("second", "urgent", simple_job(20, 1), {1'000});
        w.run_for(2'000);
        expect(w.phase("second") == job_phase::completed, "at once");
        expect(w.ended(run_end::stopped) == stops, "and nothing was stopped");
    }

    void slow_workers_are_left_to_what_has_time()
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
               "on workers of the usual speed");
    }

    /// Spread over two racks it would take three times as long.
    void a_gang_waits_for_a_rack_that_is_soon_free()
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
        expect(w.running("third") == 0, "waits");
        w.run_for(2'400);
        expect(w.phase("third") == job_phase::completed,
               "before it could be if spread at once");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_urgent_load);

} // namespace
