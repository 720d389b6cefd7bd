#include <jasminetrack/runtime/timeline.hpp>
#include <jasminetrack/runtime/timer_service.hpp>

#include <algorithm>

namespace jasminetrack::runtime
{
namespace
{

constexpr std::size_t max_events = 10'000;

} // namespace

timeline::timeline(std::string node) : node_(std::move(node)) {}

logical_time timeline::advance()
{
    auto const wall = wall_ms();
    if (wall > last_.wall_ms)
        last_ = {wall, 0};
    else
        ++last_.step;
    return last_;
}

logical_time timeline::now()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return advance();
}

void timeline::observe(std::int64_t wall_ms)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    if (wall_ms > last_.wall_ms)
        last_ = {wall_ms, 0};
}

void timeline::add(std::string kind, std::string key, std::string text,
                   std::int64_t offset)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    events_.push_back({advance(), node_, offset, std::move(kind),
                       std::move(key), std::move(text)});
    if (events_.size() > max_events)
        events_.pop_front();
}

std::vector<timeline_event> timeline::recent(std::size_t max_count) const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const count = std::min(max_count, events_.size());
    return {events_.end() - static_cast<std::ptrdiff_t>(count), events_.end()};
}

} // namespace jasminetrack::runtime
