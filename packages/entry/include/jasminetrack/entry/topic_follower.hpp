#pragma once
/// \file
/// Follows one keyed topic of the log on a thread of its own.

#include <jasminetrack/entry/ports.hpp>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace jasminetrack::entry
{

/// How a topic is followed.
struct poll_settings
{
    milliseconds long_poll_ms = 1'000; ///< a read waits this long for a record
    milliseconds interval_ms = 0;      ///< between reads that brought records
};

/// What a follower tells; all calls come from its thread.
struct topic_listener
{
    /// Entries in order of their offsets. After a gap, `reloaded` entries
    /// are the newest of each key.
    std::function<void(std::vector<log_entry> const& entries, std::int64_t next,
                       bool reloaded)>
        on_entries;
    std::function<void(std::string const& reason)> on_failure;
};

class topic_follower
{
public:
    topic_follower(log_port& log, topic t, poll_settings poll,
                   topic_listener listener);
    ~topic_follower();

    void start();
    void stop();
    void set_interval(milliseconds interval_ms);
    /// Ends a rest. \returns whether what was told is as new as this call,
    /// but for the way of one answer; false if `limit_ms` did not suffice.
    bool refresh(milliseconds limit_ms);
    /// A paused follower reads nothing; it reloads the topic when it resumes.
    void pause(bool paused);

private:
    void run();
    [[nodiscard]] bool load();
    void read_once();
    void rest_after_failure();
    void rest_after_entries();
    /// \returns how long the next read may wait for entries.
    [[nodiscard]] milliseconds begin_read();
    void end_read(bool answered);

    log_port& log_;
    topic topic_;
    poll_settings poll_;
    topic_listener listener_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    bool paused_ = false;
    bool loaded_ = false;
    bool waiting_ = false;      ///< a read waits at the log
    std::uint64_t asked_ = 0;   ///< refreshes
    std::uint64_t reading_ = 0; ///< refreshes that the read under way answers
    std::uint64_t answered_ = 0;
    std::int64_t next_ = 0;
    std::thread thread_;
};

} // namespace jasminetrack::entry
