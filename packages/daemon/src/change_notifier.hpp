#pragma once
/// \file
/// Threads that wait until the state has changed in a way they care about.

#include <array>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

namespace jasminetrack::daemon
{

/// Waiting places in shards, each under a lock of its own.
class change_notifier
{
public:
    /// Waits until `is_true` or until the clock reaches `until_ms`.
    /// \param key changes of which the thread wants to hear
    /// \returns the last value of `is_true`.
    [[nodiscard]] bool wait(std::string const& key, std::int64_t until_ms,
                            std::function<bool()> const& is_true);
    /// Wakes those that wait for `key`.
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
