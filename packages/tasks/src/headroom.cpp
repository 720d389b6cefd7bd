#include <jasminetrack/tasks/headroom.hpp>

#include <algorithm>

namespace jasminetrack::tasks
{
namespace
{

/// Urgent demand of this time back is expected to come again.
constexpr milliseconds window_ms = 3'000;
/// A burst goes beyond the last peak by about this, in percent of it.
constexpr std::int64_t growth_percent = 125;
constexpr std::int64_t hundred = 100;

} // namespace

std::int64_t urgent_headroom::required(milliseconds now) const noexcept
{
    for (auto const& s : samples_)
        if (now - s.at <= window_ms)
            return std::max<std::int64_t>(
                0, s.in_use * growth_percent / hundred - in_use_);
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
