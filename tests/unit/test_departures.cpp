/// \file
/// Workers that leave at short notice: how often, when a run on them ends, and
/// which gangs wait. Guards against runs that are ended though they would
/// complete, or lost as their stop comes too late.

#include "manual_dispatcher.hpp"
#include "section.hpp"

#include <jasminetrack/entry/settings.hpp>
#include <jasminetrack/tasks/departures.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace
{

using namespace support;

constexpr milliseconds max_stop_ms = 400;
constexpr milliseconds notice_ms = 4'000;

worker_info worker(std::int64_t started, std::string version)
{
    worker_info w;
    w.service = "service";
    w.incarnation = started;
    w.version = std::move(version);
    return w;
}

leaving_run run_with(milliseconds least, milliseconds expected)
{
    return {notice_ms, max_stop_ms, {least, expected}, false, false};
}

departure_wait_terms endangered()
{
    return {0.1, true, false, false, true, true, 60'000};
}

class test_departures : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_departures);
    CPPUNIT_TEST(the_setting_is_off_by_default);
    CPPUNIT_TEST(departures_are_forgotten);
    CPPUNIT_TEST(replaced_workers_come_first);
    CPPUNIT_TEST(progress_is_projected);
    CPPUNIT_TEST(a_run_ends_at_the_time_that_loses_least);
    CPPUNIT_TEST(an_endangered_gang_waits_for_a_bounded_time);
    CPPUNIT_TEST(a_gang_is_ended_once_and_only_with_the_setting);
    CPPUNIT_TEST_SUITE_END();

public:
    void the_setting_is_off_by_default()
    {
        using jasminetrack::entry::parse_entry_settings;
        expect(!parse_entry_settings("jobs: {}", "f")
                    .value.limits.expect_departures,
               "off");
        expect(parse_entry_settings("jobs: {expect_departures: true}", "f")
                   .value.limits.expect_departures,
               "on");
    }

    void departures_are_forgotten()
    {
        departures d;
        expect(d.chance_to_complete(0, "service", 80, 31, 30'000) == 1,
               "nothing is expected without departures");
        for (int i = 0; i < 11; ++i)
            d.record(1'000, worker(1, ""));
        expect(d.chance_to_complete(1'000, "service", 80, 31, 30'000) < 0.1,
               "a wide gang will hardly complete");
        expect(d.chance_to_complete(1'000, "service", 80, 1, 3'000) > 0.9,
               "a small task will");
        expect(d.are_going_on(2'500, "service"), "the wave goes on");
        expect(!d.are_going_on(4'000, "service"), "the wave is over");
        expect(d.per_minute(200'000, "service") == 0, "they are forgotten");
    }

    void replaced_workers_come_first()
    {
        departures d;
        auto const old_worker = worker(1'000, "v9");
        auto const replaced = worker(90'000, "v10");
        expect(d.rank(100'000, 100'000, old_worker) ==
                   d.rank(100'000, 100'000, replaced),
               "no worker is preferred without departures");
        d.record(80'000, worker(500, "v9"));
        expect(d.is_replacement(100'000, replaced), "it was replaced");
        expect(!d.is_replacement(100'000, old_worker), "it was not");
        expect(d.rank(100'000, 100'000, replaced) <
                   d.rank(100'000, 100'000, old_worker),
               "a replaced worker comes first");
        d.record(100'000, replaced);
        expect(d.rank(100'000, 100'000, old_worker) <
                   d.rank(100'000, 100'000, worker(99'000, "v10")),
               "workers of all versions leave: longer up comes first");
        section("an earlier rolling replacement does not count",
                [&]
                {
                    constexpr milliseconds hour_ms = 3'600'000;
                    d.record(hour_ms, worker(90'000, "v10"));
                    expect(d.is_replacement(hour_ms, worker(hour_ms, "v11")),
                           "the versions of this one");
                });
    }

    void progress_is_projected()
    {
        auto const half = project({5'000, 1'000, 0, 50, 90'000});
        expect(half.expected_ms == 4'000, "by the progress");
        expect(half.least_ms < 4'000 && half.least_ms > 2'500, "with a margin");
        auto const resumed = project({2'000, 0, 40, 60, 90'000});
        expect(resumed.expected_ms == 4'000, "earlier progress took no time");
        expect(project({1'000, 0, 0, 0, 20'000}).least_ms == 1'000,
               "an estimate may be ten times too long");
    }

    void a_run_ends_at_the_time_that_loses_least()
    {
        expect(plan_drain(run_with(3'000, 4'000)).action == drain_action::go_on,
               "one that completes goes on");
        auto run = run_with(3'000, 6'000);
        run.place_is_wanted = true;
        expect(plan_drain(run).reason == drain_reason::may_complete,
               "one that may complete is not ended early");
        run = run_with(9'000, 9'000);
        expect(plan_drain(run) == drain_verdict{drain_action::end_later,
                                                drain_reason::place_not_used,
                                                3'300},
               "nothing is gained by an early end");
        run.place_is_wanted = true;
        expect(plan_drain(run).reason == drain_reason::place_is_wanted,
               "other work can start");
        run.checkpoints = true;
        expect(plan_drain(run).reason == drain_reason::keeps_progress,
               "a checkpoint is saved at the last moment");
        run.notice_ms = max_stop_ms + 300;
        expect(plan_drain(run).action == drain_action::end_now,
               "a later stop would not complete");
    }

    void an_endangered_gang_waits_for_a_bounded_time()
    {
        departure_waits waits;
        unit_ref const ref{"a", {}};
        using reason = departure_wait_reason;
        expect(waits.judge(1'000, ref, endangered()) == reason::waits, "waits");
        expect(waits.judge(4'900, ref, endangered()) == reason::waits, "still");
        expect(waits.judge(5'000, ref, endangered()) == reason::waited_long,
               "for 4 s at most");
        auto t = endangered();
        t.spare_ms = 0;
        expect(judge_wait(t, 0) == reason::waited_long, "it would expire");
        t = endangered();
        t.service_in_use = false;
        expect(judge_wait(t, 0) == reason::service_idle, "an idle service");
        t = endangered();
        t.room_is_wanted = false;
        expect(judge_wait(t, 0) == reason::room_not_wanted, "idle room");
        t = endangered();
        t.urgent = true;
        expect(judge_wait(t, 0) == reason::exempt, "urgent work never waits");
    }

    void a_gang_is_ended_once_and_only_with_the_setting()
    {
        for (bool const expects : {false, true})
        {
            dispatch_limits limits;
            limits.expect_departures = expects;
            manual_dispatcher d(two_queues(), limits);
            for (auto const* id : {"w1", "w2", "w3"})
                d.add_worker(id, 1);
            d.run_for(500);
            d.submit("gang", "batch", 3);
            d.run_for(500);
            expect(d.starts.size() == 3, "started");
            // Without progress it would be taken for hanging after 3.5 s.
            d.drain_worker("w1", 3'000);
            d.drain_worker("w2", 3'500);
            d.run_for(1'000);
            expect(d.stops.empty() == expects, "the place is of no use yet");
            d.run_for(1'000);
            auto const ends = std::count_if(
                d.decisions.begin(), d.decisions.end(),
                [](decision const& x) { return x.step == "unit.end_run"; });
            expect(ends == 1, "it is ended once");
            bool const is_counted =
                d.newest("unit.end_run").ends_with(" moved=1");
            expect(is_counted == expects, "the move is counted");
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_departures);

} // namespace
