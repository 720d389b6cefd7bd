#include <jasminetrack/tasks/drain_plan.hpp>

#include <algorithm>
#include <array>

namespace jasminetrack::tasks
{
namespace
{

constexpr std::int64_t hundred = 100;
/// Workers report whole percents, so that less progress than this tells little
/// about the speed.
constexpr std::int64_t min_percent = 5;
/// The speed of a run varies by this much, in percent of the remaining time.
constexpr std::int64_t error_percent = 15;
/// Without progress only the estimate is known. It is up to this many times
/// the actual duration.
constexpr std::int64_t estimate_excess = 10;
/// Between the decision and the begin of the stop at the worker: an interval of
/// the monitor and the delivery of the order.
constexpr milliseconds stop_margin_ms = 300;

milliseconds at_speed(run_report const& r, std::int64_t done) noexcept
{
    return r.ran_ms * (hundred - r.first_percent - done) / done;
}

remaining_time project_estimate(run_report const& r) noexcept
{
    auto const work_ms = r.estimate_ms * (hundred - r.percent) / hundred;
    auto const passed = r.percent > r.first_percent ? 0 : r.ran_ms;
    return {work_ms / estimate_excess - passed, work_ms - passed};
}

remaining_time project_progress(run_report const& r) noexcept
{
    auto const done = r.percent - r.first_percent;
    // A reported percent may be almost one percent too low.
    auto const least = at_speed(r, std::min(done + 1, hundred));
    return {least * (hundred - error_percent) / hundred, at_speed(r, done)};
}

milliseconds with_error(milliseconds expected) noexcept
{
    return expected * (hundred + error_percent) / hundred;
}

} // namespace

char const* to_text(drain_reason r) noexcept
{
    constexpr std::array names{"completes",       "keeps_progress",
                               "may_complete",    "place_not_used",
                               "place_is_wanted", "last_moment"};
    return names[static_cast<std::size_t>(r)];
}

remaining_time project(run_report const& r) noexcept
{
    auto t = r.percent - r.first_percent < min_percent ? project_estimate(r)
                                                       : project_progress(r);
    t.least_ms = std::max<milliseconds>(0, t.least_ms - r.age_ms);
    t.expected_ms = std::max<milliseconds>(0, t.expected_ms - r.age_ms);
    return t;
}

bool may_complete(leaving_run const& r) noexcept
{
    return r.remaining.least_ms <= r.notice_ms;
}

/// A run with checkpoints loses little by a stop in time and all of its
/// progress since the newest checkpoint by a stop that comes too late, so it
/// goes on past the last moment only if it completes with a margin. A run
/// without them loses everything by any stop, so it goes on if it is expected
/// to complete.
drain_verdict plan_drain(leaving_run const& r) noexcept
{
    auto const expected = r.checkpoints ? with_error(r.remaining.expected_ms)
                                        : r.remaining.expected_ms;
    if (expected <= r.notice_ms)
        return {drain_action::go_on, drain_reason::completes, 0};
    auto const stop_in = r.notice_ms - r.max_stop_ms - stop_margin_ms;
    if (stop_in <= 0)
        return {drain_action::end_now, drain_reason::last_moment, 0};
    if (r.checkpoints)
        return {drain_action::end_later, drain_reason::keeps_progress, stop_in};
    if (may_complete(r))
        return {drain_action::end_later, drain_reason::may_complete, stop_in};
    if (r.place_is_wanted)
        return {drain_action::end_now, drain_reason::place_is_wanted, 0};
    return {drain_action::end_later, drain_reason::place_not_used, stop_in};
}

} // namespace jasminetrack::tasks
