#include <jasminetrack/tasks/headroom_lending.hpp>

#include <algorithm>

namespace jasminetrack::tasks
{
namespace
{

/// Resolution of the history.
constexpr milliseconds interval_ms = 100;
/// Covers two periods of urgent load (about 12 s each), so that its range is
/// known.
constexpr milliseconds range_window_ms = 30'000;
/// Covers one period of urgent load, so that its last rise counts.
constexpr milliseconds rise_window_ms = 15'000;
/// Between peaks, urgent work arrives as it did within the time for which its
/// last peak is kept as headroom.
constexpr milliseconds between_peaks_window_ms = 3'000;
/// Peaks that began earlier do not count.
constexpr milliseconds peaks_window_ms = 60'000;
/// Urgent jobs that follow each other leave gaps that separate no peaks.
constexpr milliseconds max_gap_ms = 1'000;
/// A period needs at least two intervals between peaks.
constexpr std::size_t min_peaks = 3;
/// Estimates are off by up to this factor.
constexpr std::int64_t estimate_error = 2;
/// A shorter estimate is one that the caller did not give.
constexpr milliseconds min_estimate_ms = 10;
/// A quarter of the headroom stays free in any case.
constexpr std::int64_t reserve_divisor = 4;

} // namespace

void urgent_history::record(milliseconds now, std::int64_t in_use)
{
    add(now, in_use);
    track_peaks(now, in_use);
}

void urgent_history::add(milliseconds now, std::int64_t in_use)
{
    auto const growth = growth_to(now, in_use);
    if (intervals_.empty() || now - intervals_.back().begin >= interval_ms)
        intervals_.push_back({now, in_use, in_use, in_use, 0});
    auto& newest = intervals_.back();
    newest.min = std::min(newest.min, in_use);
    newest.max = std::max(newest.max, in_use);
    newest.last = in_use;
    newest.growth = std::max(newest.growth, growth);
    while (now - intervals_.front().begin > range_window_ms)
        intervals_.pop_front();
}

std::int64_t urgent_history::growth_to(milliseconds now,
                                       std::int64_t in_use) const noexcept
{
    auto least = in_use;
    for (auto at = intervals_.rbegin(); at != intervals_.rend(); ++at)
    {
        // The use at the end of the last earlier interval lasted until then.
        bool const is_earlier = now - at->begin > stop_ms_;
        least = std::min(least, is_earlier ? at->last : at->min);
        if (is_earlier)
            break;
    }
    return in_use - least;
}

void urgent_history::track_peaks(milliseconds now, std::int64_t in_use)
{
    auto least = in_use;
    auto most = in_use;
    for (auto const& i : intervals_)
    {
        least = std::min(least, i.min);
        most = std::max(most, i.max);
    }
    bool const was_high = is_high_;
    is_high_ = most > least && 2 * (in_use - least) >= most - least;
    if (is_high_ && !was_high && (high_at_ < 0 || now - high_at_ > max_gap_ms))
        peaks_.push_back(now);
    if (is_high_ || was_high)
        high_at_ = now;
    while (!peaks_.empty() && now - peaks_.front() > peaks_window_ms)
        peaks_.pop_front();
}

std::int64_t urgent_history::growth(milliseconds now) const noexcept
{
    auto const window = next_peak(now).value_or(0) > stop_ms_
                            ? between_peaks_window_ms
                            : rise_window_ms;
    std::int64_t largest = 0;
    for (auto const& i : intervals_)
        if (now - i.begin <= window)
            largest = std::max(largest, i.growth);
    return largest;
}

std::optional<milliseconds>
urgent_history::next_peak(milliseconds now) const noexcept
{
    if (peaks_.size() < min_peaks)
        return std::nullopt;
    if (is_high_)
        return 0;
    auto shortest = peaks_window_ms;
    for (std::size_t i = 1; i < peaks_.size(); ++i)
        shortest = std::min(shortest, peaks_[i] - peaks_[i - 1]);
    return std::max<milliseconds>(0, peaks_.back() + shortest - now);
}

char const* to_text(lending_reason reason) noexcept
{
    switch (reason)
    {
    case lending_reason::checkpoints:
        return "checkpoints";
    case lending_reason::ends_before_peak:
        return "ends_before_peak";
    case lending_reason::urgent:
        return "urgent";
    case lending_reason::not_stoppable:
        return "not_stoppable";
    case lending_reason::reserve:
        return "reserve";
    case lending_reason::lent_already:
        return "lent_already";
    case lending_reason::no_history:
        return "no_history";
    case lending_reason::too_long:
        return "too_long";
    }
    return "unknown";
}

lending_verdict decide_lending(headroom_state const& state,
                               lending_unit const& unit) noexcept
{
    auto const quarter =
        (state.headroom + reserve_divisor - 1) / reserve_divisor;
    auto const reserve = std::max(state.growth, quarter);
    auto const refuse = [&](lending_reason reason) {
        return lending_verdict{false, reason, reserve};
    };
    if (unit.priority == 0)
        return refuse(lending_reason::urgent);
    if (unit.lasting)
        return refuse(lending_reason::not_stoppable);
    if (state.free - unit.accelerators < reserve)
        return refuse(lending_reason::reserve);
    if (state.lent + unit.accelerators > state.headroom - reserve)
        return refuse(lending_reason::lent_already);
    if (unit.checkpoints)
        return {true, lending_reason::checkpoints, reserve};
    if (!state.next_peak_ms)
        return refuse(lending_reason::no_history);
    bool const ends_before =
        unit.estimate_ms >= min_estimate_ms &&
        estimate_error * unit.estimate_ms <= *state.next_peak_ms;
    if (!ends_before)
        return refuse(lending_reason::too_long);
    return {true, lending_reason::ends_before_peak, reserve};
}

std::string to_text(headroom_state const& state, lending_unit const& unit,
                    lending_verdict const& verdict)
{
    return std::string("why=") + to_text(verdict.reason) +
           " headroom=" + std::to_string(state.headroom) +
           " growth=" + std::to_string(state.growth) +
           " reserve=" + std::to_string(verdict.reserve) +
           " free=" + std::to_string(state.free) +
           " lent=" + std::to_string(state.lent) +
           " next_peak_ms=" + std::to_string(state.next_peak_ms.value_or(-1)) +
           " accelerators=" + std::to_string(unit.accelerators) +
           " checkpoints=" + (unit.checkpoints ? "1" : "0") +
           " estimate_ms=" + std::to_string(unit.estimate_ms) +
           " priority=" + std::to_string(unit.priority);
}

} // namespace jasminetrack::tasks
