/// \file
/// Tests the use of the headroom for urgent work by lower priorities: the
/// decision, and a service with waves of urgent jobs beside long work.

#include "dispatch_simulation.hpp"
#include "section.hpp"
#include "small_jobs.hpp"

#include <jasminetrack/entry/settings.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <sstream>

namespace
{

using namespace support;

constexpr milliseconds stop_ms = 700;
constexpr milliseconds wave_ms = 12'000;

/// \returns the history of waves of use between 100 and 300 that begin at their
/// lowest.
urgent_history after_waves(milliseconds until)
{
    constexpr milliseconds pass_ms = 50;
    constexpr double pi = 3.14159265358979;
    urgent_history history(stop_ms);
    for (milliseconds now = 0; now <= until; now += pass_ms)
    {
        auto const phase =
            2 * pi * static_cast<double>(now) / static_cast<double>(wave_ms);
        history.record(now, 200 - std::lround(100 * std::cos(phase)));
    }
    return history;
}

/// What the callers of a load get.
struct load_result
{
    int urgent = 0;
    int urgent_in_time = 0;
    int lower_in_time = 0;
    milliseconds slowest_guaranteed = 0;    ///< begin of a guaranteed job
    std::vector<milliseconds> urgent_waits; ///< until they begin
    std::size_t violations = 0;

    [[nodiscard]] milliseconds wait_at(double share)
    {
        std::sort(urgent_waits.begin(), urgent_waits.end());
        return urgent_waits.at(static_cast<std::size_t>(
            share * static_cast<double>(urgent_waits.size() - 1)));
    }
};

/// Waves of urgent gangs beside work of two lower priorities, half of it with
/// checkpoints.
class wave_load
{
public:
    wave_load(unsigned seed, simulation_faults const& settings)
        : random_(seed), simulation_(seed, settings), config_(two_queues())
    {
        constexpr int workers_a_rack = 8;
        config_.queues.push_back(
            {"middle", "h", "/m/", "service", 1, 3, 3, 1'200});
        config_.teams[0].guaranteed_accelerators = guarantee;
        simulation_.configure(config_);
        for (int i = 0; i < workers; ++i)
            simulation_.add_worker("w" + std::to_string(i),
                                   "r" + std::to_string(i / workers_a_rack),
                                   {64'000, 131'072, 8});
        simulation_.run_for(1'000);
    }

    void add_to(load_result& result)
    {
        for (milliseconds at = 0; at < traffic_ms; at += tick_ms)
        {
            submit_due(at);
            note_guaranteed();
            simulation_.run_for(tick_ms);
            for (auto& [id, j] : jobs_)
                if (!j.ended && simulation_.phase(id) == job_phase::completed)
                    end(j, result);
        }
        for (auto const& [id, j] : jobs_)
            if (auto const begun = simulation_.begun_at(id);
                j.priority == 0 && begun >= 0)
                add_begin(j, begun - j.submitted, result);
        result.violations += simulation_.violations().size();
    }

private:
    static constexpr int workers = 48;
    static constexpr std::int64_t guarantee = 288; ///< of 384 accelerators
    static constexpr milliseconds traffic_ms = 72'000;
    static constexpr milliseconds tick_ms = 100;

    struct submitted_job
    {
        std::int64_t priority = 0;
        std::int64_t accelerators = 0;
        milliseconds submitted = 0;
        milliseconds objective_ms = 0;
        bool guaranteed = true; ///< until it began
        bool ended = false;
    };

    double uniform(double min, double max)
    {
        return std::uniform_real_distribution<>(min, max)(random_);
    }

    int arrivals(double per_second)
    {
        return std::poisson_distribution<>(per_second * tick_ms /
                                           1'000)(random_);
    }

    void submit_due(milliseconds at)
    {
        auto const phase = at % wave_ms;
        bool const is_wave = phase >= 2'000 && phase < 6'000;
        for (int i = arrivals(is_wave ? 9 : 1); i > 0; --i)
            submit("urgent", 6, true, 1'200, 3'800);
        for (int i = arrivals(0.8); i > 0; --i)
            submit("middle", 8, true, 7'000, 11'000);
        for (int i = arrivals(2); i > 0; --i)
            submit("batch", 24, false, 1'000, 9'000);
    }

    void submit(std::string const& queue, double max_count, bool gang,
                double min_ms, double max_ms)
    {
        auto const* q = find_queue(config_, queue);
        auto const work = uniform(min_ms, max_ms);
        auto const count = static_cast<std::int64_t>(uniform(1, max_count + 1));
        auto const width = gang ? 1 << static_cast<int>(uniform(0, 4)) : 1;
        auto spec = gang ? gang_job(count, width) : simple_job(count, width);
        auto& step = spec.steps[0];
        step.need = {7'000 * width, 14'000 * width, width};
        step.same_rack = q->priority == 0 && uniform(0, 1) < 0.8;
        step.checkpoints = q->priority != 0 && uniform(0, 1) < 0.5;
        step.estimate_ms = static_cast<milliseconds>(work * uniform(0.5, 1.5));
        auto const id = queue + std::to_string(jobs_.size());
        jobs_[id] = {q->priority, count * width, simulation_.now(),
                     q->latency_ms +
                         static_cast<milliseconds>(q->stretch * work)};
        simulation_.submit(id, queue, spec,
                           {static_cast<milliseconds>(work), false});
    }

    /// Jobs that wait while urgent jobs need more than the guarantee are not
    /// within it.
    void note_guaranteed()
    {
        std::int64_t wanted = 0;
        for (auto const& [id, j] : jobs_)
            wanted += j.priority == 0 && !j.ended ? j.accelerators : 0;
        for (auto& [id, j] : jobs_)
            if (wanted > guarantee && simulation_.begun_at(id) < 0)
                j.guaranteed = false;
    }

    void end(submitted_job& j, load_result& result) const
    {
        j.ended = true;
        if (simulation_.now() - j.submitted <= j.objective_ms)
            ++(j.priority == 0 ? result.urgent_in_time : result.lower_in_time);
    }

    static void add_begin(submitted_job const& j, milliseconds waited,
                          load_result& result)
    {
        ++result.urgent;
        result.urgent_waits.push_back(waited);
        if (j.guaranteed)
            result.slowest_guaranteed =
                std::max(result.slowest_guaranteed, waited);
    }

    std::mt19937 random_;
    dispatch_simulation simulation_;
    configuration config_;
    std::map<std::string, submitted_job> jobs_;
};

load_result play_waves(bool lend_headroom)
{
    constexpr unsigned seeds = 6;
    simulation_faults settings;
    settings.lend_headroom = lend_headroom;
    settings.slow_stops = true;
    load_result result;
    for (unsigned seed = 1; seed <= seeds; ++seed)
        wave_load(seed, settings).add_to(result);
    return result;
}

simulation_faults lending()
{
    simulation_faults settings;
    settings.lend_headroom = true;
    return settings;
}

/// Runs ordinary work on 40 of 64 accelerators, and a job of which 8 tasks
/// start within the headroom that a peak of urgent work has left.
void lend_eight(dispatch_simulation& w)
{
    add_racks(w);
    auto plain = simple_job(40, 1);
    plain.steps[0].checkpoints = true;
    w.submit("plain", "batch", plain, {60'000});
    w.run_for(2'000);
    w.submit("first", "urgent", simple_job(2, 8), {3'000});
    w.run_for(1'500);
    w.submit("more", "urgent", simple_job(1, 8), {1'500});
    w.run_for(2'000);
    // A stop of these loses more than one of the others.
    auto saves = simple_job(16, 1);
    saves.steps[0].checkpoints = true;
    saves.steps[0].need.millicores = 8'000;
    w.submit("saves", "batch", saves, {60'000});
    w.run_for(1'500);
    expect(w.running("saves") == 8 &&
               w.leader().utilization().at("service").lent == 8,
           "the free 24 of a headroom of 30 are lent except for the 16 that "
           "urgent work takes at once");
}

class test_headroom_lending : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_headroom_lending);
    CPPUNIT_TEST(setting_is_off_by_default);
    CPPUNIT_TEST(history_predicts_regular_peaks_only);
    CPPUNIT_TEST(reserve_stays_free);
    CPPUNIT_TEST(only_work_that_is_cheap_to_stop_is_lent_to);
    CPPUNIT_TEST(lent_work_is_stopped_first);
    CPPUNIT_TEST(successor_lends_nothing_without_history);
    CPPUNIT_TEST(lending_helps_lower_priorities_at_no_cost_to_urgent_ones);
    CPPUNIT_TEST_SUITE_END();

public:
    void setting_is_off_by_default()
    {
        std::string const text = "node: n\nregion: r\ndata_center: d\n"
                                 "listen: 10.0.0.1:1\nready: 10.0.0.1:2\n"
                                 "mesh: 10.0.0.1:3\nlog: 10.0.0.2:1\n"
                                 "jobs:\n  stop: 400ms\n";
        auto const parse = [](std::string const& t)
        { return jasminetrack::entry::parse_entry_settings(t, "f"); };
        expect(!parse(text).value.limits.lend_headroom, "off");
        auto const on = parse(text + "  lend_headroom: true\n");
        expect(on.diagnostics.empty() && on.value.limits.lend_headroom, "on");
    }

    void history_predicts_regular_peaks_only()
    {
        expect(!after_waves(22'000).next_peak(22'000), "two peaks are too few");
        auto const history = after_waves(35'000);
        expect(history.next_peak(35'000) == 4'000, "12 s after the last one");
        expect(history.next_peak(60'000) == 0, "a missing peak is due");
        expect(after_waves(30'000).next_peak(30'000) == 0, "under way");
        expect(history.growth(35'000) == 0, "urgent use falls");
        auto const growth = after_waves(30'000).growth(30'000);
        expect(growth > 33 && growth < 40, "in a peak, that of the last rise");
        section("gaps between the jobs of a burst",
                [&]
                {
                    urgent_history bursts(stop_ms);
                    for (milliseconds now = 0; now < 9'000; now += 100)
                        bursts.record(now, now % 1'500 < 1'000 ? 50 : 0);
                    expect(!bursts.next_peak(9'000), "they are one peak");
                    expect(bursts.growth(9'000) == 50, "a job begins at once");
                });
    }

    void reserve_stays_free()
    {
        lending_unit const unit{1, 10, false, true, 20'000};
        headroom_state const calm{100, 5, 100, 0, std::nullopt};
        auto const verdict = decide_lending(calm, unit);
        expect(verdict.allowed && verdict.reserve == 25, "a quarter is kept");
        auto nearly_used = calm;
        nearly_used.free = 34;
        expect(decide_lending(nearly_used, unit).reason ==
                   lending_reason::reserve,
               "not more than what the reserve leaves");
        auto rising = calm;
        rising.growth = 95;
        expect(decide_lending(rising, unit).reason == lending_reason::reserve,
               "urgent use grows faster than stops complete");
        auto lent = calm;
        lent.lent = 66;
        expect(decide_lending(lent, unit).reason ==
                   lending_reason::lent_already,
               "what is lent counts");
    }

    void only_work_that_is_cheap_to_stop_is_lent_to()
    {
        headroom_state const unknown{100, 5, 100, 0, std::nullopt};
        headroom_state const known{100, 5, 100, 0, 4'000};
        auto const reason =
            [](headroom_state const& state, lending_unit const& unit)
        { return decide_lending(state, unit).reason; };
        lending_unit const brief{2, 10, false, false, 2'000};
        expect(reason(known, brief) == lending_reason::ends_before_peak,
               "twice the estimate ends in time");
        expect(reason(unknown, brief) == lending_reason::no_history,
               "nothing tells when the next peak comes");
        lending_unit const longer{2, 10, false, false, 2'001};
        expect(reason(known, longer) == lending_reason::too_long,
               "it may last into the peak");
        lending_unit const not_estimated{2, 10, false, false, 1};
        expect(reason(known, not_estimated) == lending_reason::too_long,
               "its duration is not known");
        lending_unit const saves{2, 10, false, true, 20'000};
        expect(reason(unknown, saves) == lending_reason::checkpoints,
               "a stop costs a restart");
        lending_unit const lasting{2, 10, true, true, 2'000};
        expect(reason(known, lasting) == lending_reason::not_stoppable,
               "lasting work is never stopped");
        lending_unit const urgent{0, 10, false, true, 2'000};
        expect(reason(known, urgent) == lending_reason::urgent,
               "urgent work uses the headroom as its own");
    }

    void lent_work_is_stopped_first()
    {
        dispatch_simulation w(41, lending());
        std::ostringstream trace;
        w.trace_to(&trace);
        lend_eight(w);
        expect(trace.str().find("lent=1") != std::string::npos,
               "the placement is marked");
        w.submit("second", "urgent", simple_job(3, 8), {1'000});
        w.run_for(1'200);
        expect(w.begun_at("second") >= 0, "all urgent tasks have started");
        expect(w.running("plain") == 40, "other work goes on");
    }

    /// The history and the marks are lost with the dispatcher.
    void successor_lends_nothing_without_history()
    {
        dispatch_simulation w(42, lending());
        lend_eight(w);
        w.take_over();
        w.run_for(2'000);
        expect(w.leader().utilization().at("service").lent == 0,
               "nothing counts as lent");
        expect(w.running("plain") == 40 && w.starts("saves") == 16,
               "no run was stopped by it");
        auto const submitted = w.now();
        w.submit("second", "urgent", simple_job(2, 8), {1'000});
        w.run_for(dispatch_limits{}.max_reclaim_ms);
        expect(w.begun_at("second") >= 0 &&
                   w.begun_at("second") - submitted <=
                       dispatch_limits{}.max_reclaim_ms,
               "guaranteed work begins within the bound");
    }

    void lending_helps_lower_priorities_at_no_cost_to_urgent_ones()
    {
        constexpr int hundred = 100;
        auto off = play_waves(false);
        auto on = play_waves(true);
        auto const figures = [](load_result& r)
        {
            return " lower in time " + std::to_string(r.lower_in_time) +
                   ", urgent in time " + std::to_string(r.urgent_in_time) +
                   " of " + std::to_string(r.urgent) + ", begun after " +
                   std::to_string(r.wait_at(0.5)) + " (50 %) " +
                   std::to_string(r.wait_at(0.9)) + " (90 %) " +
                   std::to_string(r.wait_at(0.99)) + " (99 %) ms, guaranteed " +
                   std::to_string(r.slowest_guaranteed) + " ms at most;";
        };
        auto const text = " off:" + figures(off) + " on:" + figures(on);
        expect(off.violations + on.violations == 0, "no invariant is violated");
        expect(on.slowest_guaranteed <= dispatch_limits{}.max_reclaim_ms,
               "guaranteed jobs begin within the bound:" + text);
        expect(on.lower_in_time > off.lower_in_time,
               "more lower-priority jobs end in time:" + text);
        expect(hundred * (off.urgent_in_time - on.urgent_in_time) <= off.urgent,
               "one urgent job in a hundred at most is late by it:" + text);
        expect(on.wait_at(0.9) <= off.wait_at(0.9) + stop_ms,
               "urgent jobs wait for a stop at most:" + text);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_headroom_lending);

} // namespace
