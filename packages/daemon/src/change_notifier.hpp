#pragma once
/// \file
/// Lets threads wait for changes of the state, by key.

#include <array>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

namespace jasminetrack::daemon
{

/// Condition variables in shards by key, each under a lock of its own. Safe to
/// use from several threads.
class change_notifier
{
public:
    /// Waits until `condition` holds or the monotonic clock reaches `until_ms`.
    /// \param key        `condition` is checked again when it is notified
    /// \param condition  called without a lock of this class
    /// \returns the last value of `condition`.
    [[nodiscard]] bool wait(std::string const& key, std::int64_t until_ms,
                            std::function<bool()> const& condition);
    /// Wakes the threads that wait for `key`.
    void notify(std::string const& key);
    void notify_all();

private:
    struct shard
    {
        std::mutex mutex;
        std::condition_variable changed;
        std::uint64_t generation = 0;
    };

    [[nodiscard]] shard& shard_of(std::string const& key);

    static constexpr std::size_t shard_count = 16;
    std::array<shard, shard_count> shards_;
};

} // namespace jasminetrack::daemon
