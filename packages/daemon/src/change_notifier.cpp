#include "change_notifier.hpp"

#include <jasminetrack/runtime/timer_service.hpp>

#include <chrono>

namespace jasminetrack::daemon
{

change_notifier::shard& change_notifier::shard_of(std::string const& key)
{
    return shards_[std::hash<std::string>{}(key) % shard_count];
}

bool change_notifier::wait(std::string const& key, std::int64_t until_ms,
                           std::function<bool()> const& is_true)
{
    auto& s = shard_of(key);
    while (true)
    {
        std::uint64_t seen = 0;
        {
            std::lock_guard<std::mutex> const lock(s.mutex);
            seen = s.generation;
        }
        if (is_true())
            return true;
        auto const left = until_ms - runtime::monotonic_ms();
        if (left <= 0)
            return false;
        std::unique_lock<std::mutex> lock(s.mutex);
        s.changed.wait_for(lock, std::chrono::milliseconds(left),
                           [&] { return s.generation != seen; });
    }
}

void change_notifier::notify(std::string const& key)
{
    auto& s = shard_of(key);
    std::lock_guard<std::mutex> const lock(s.mutex);
    ++s.generation;
    s.changed.notify_all();
}

void change_notifier::notify_all()
{
    for (auto& s : shards_)
    {
        std::lock_guard<std::mutex> const lock(s.mutex);
        ++s.generation;
        s.changed.notify_all();
    }
}

} // namespace jasminetrack::daemon
