#include <jasminetrack/tasks/headroom.hpp>

#include <algorithm>

namespace jasminetrack::tasks
{
namespace
{

/// Urgent demand within this time is expected to recur.
constexpr milliseconds window_ms = 3'000;
/// Expected next peak in percent of the last one, as bursts often grow.
constexpr std::int64_t next_peak_percent = 125;
constexpr std::int64_t hundred = 100;

} // namespace

std::int64_t urgent_headroom::required(milliseconds now) const noexcept
{
    return beyond_use(now, next_peak_percent);
}

std::int64_t urgent_headroom::recent(milliseconds now) const noexcept
{
    return beyond_use(now, hundred);
}

std::int64_t urgent_headroom::beyond_use(milliseconds now,
                                         std::int64_t percent) const noexcept
{
    for (auto const& s : samples_)
        if (now - s.at <= window_ms)
            return std::max<std::int64_t>(0, s.in_use * percent / hundred -
                                                 in_use_);
    return 0;
}

void urgent_headroom::record(milliseconds now, std::int64_t in_use)
{
    in_use_ = in_use;
    while (!samples_.empty() && samples_.back().in_use <= in_use)
        samples_.pop_back();
    samples_.push_back({now, in_use});
    while (now - samples_.front().at > window_ms)
        samples_.pop_front();
}

} // namespace jasminetrack::tasks
