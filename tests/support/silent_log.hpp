#pragma once
/// \file
/// One node's path to a log that other nodes use, too. Reads on it can become
/// silent, open ones included, while those of the other nodes go on.

#include "memory_platform.hpp"

#include <chrono>
#include <utility>

namespace support
{

/// Time after which a call without an answer fails.
inline constexpr tasks::milliseconds silent_call_timeout_ms = 300;

/// Which reads of a topic get no answer.
enum class silence : std::uint8_t
{
    none,
    long_polls,
    all_reads,
};

/// Safe to use from several threads.
class silent_log : public entry::log_port
{
public:
    explicit silent_log(entry::log_port& log) : log_(log) {}

    void set_silence(entry::topic t, silence s)
    {
        {
            std::lock_guard<std::mutex> const lock(mutex_);
            silence_[t] = s;
        }
        changed_.notify_all();
    }
    void set_silence(silence s)
    {
        for (auto const t :
             {entry::topic::jobs, entry::topic::work,
              entry::topic::configuration, entry::topic::workers})
            set_silence(t, s);
    }

    /// While appends to the topic are lost, they get no answer and store
    /// nothing.
    void lose_appends(entry::topic t, bool lose)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        if (lose)
            losing_.insert(t);
        else
            losing_.erase(t);
    }

    void append(entry::append_call call,
                std::function<void(entry::append_answer)> done) override
    {
        if (loses(call.topic))
        {
            entry::append_answer none;
            none.result = entry::append_result::unknown;
            done(none);
            return;
        }
        log_.append(std::move(call), std::move(done));
    }
    [[nodiscard]] entry::read_answer read(entry::read_call const& call) override
    {
        auto answer = log_.read(call);
        if (!is_answered(call.topic, call.wait_ms > 0))
            return {};
        return answer;
    }
    [[nodiscard]] entry::newest_answer
    read_newest(entry::topic t, std::string const& after) override
    {
        if (!is_answered(t, false))
            return {};
        return log_.read_newest(t, after);
    }

private:
    [[nodiscard]] bool loses(entry::topic t)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        return losing_.count(t) != 0;
    }

    /// Waits for the end of a silence, up to the time-out of the call.
    [[nodiscard]] bool is_answered(entry::topic t, bool is_long_poll)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        auto const is_silent = [&]
        {
            auto const s = silence_[t];
            return s == silence::all_reads ||
                   (s == silence::long_polls && is_long_poll);
        };
        if (!is_silent())
            return true;
        changed_.wait_for(lock,
                          std::chrono::milliseconds(silent_call_timeout_ms),
                          [&] { return !is_silent(); });
        return false; // a connection that was silent returns nothing further
    }

    entry::log_port& log_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<entry::topic, silence> silence_;
    std::set<entry::topic> losing_;
};

} // namespace support
