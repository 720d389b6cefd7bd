#pragma once
/// \file
/// Events of this process with hybrid logical times, so that the time lines of
/// several processes can be merged in causal order.

#include <compare>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace jasminetrack::runtime
{

/// A hybrid logical time: the wall time, or the latest time received from
/// another process if that is later.
struct logical_time
{
    std::int64_t wall_ms = 0;
    std::uint32_t step = 0; ///< orders events of one millisecond

    friend auto operator<=>(logical_time const&, logical_time const&) = default;
};

/// An event on the time line.
struct timeline_event
{
    logical_time at;
    std::string node;
    std::int64_t offset = -1; ///< of the log record that caused it; -1: none
    std::string kind;         ///< such as "job" or "claim"
    std::string key;          ///< the object concerned, such as a job's id
    std::string text;         ///< what happened
};

/// A bounded list of the newest events of a process. Safe to use from several
/// threads.
class timeline
{
public:
    explicit timeline(std::string node);

    /// \returns up to `max_count` of the newest events, oldest first.
    [[nodiscard]] std::vector<timeline_event>
    recent(std::size_t max_count) const;
    /// \returns a new logical time, later than all before.
    [[nodiscard]] logical_time now();

    /// Takes a time received from another process into account: all later
    /// events get a later time.
    /// \param wall_ms milliseconds since 1970
    void observe(std::int64_t wall_ms);
    /// Adds an event at the current logical time; the oldest event is dropped
    /// when the list is full.
    void add(std::string kind, std::string key, std::string text,
             std::int64_t offset = -1);

private:
    [[nodiscard]] logical_time advance();

    mutable std::mutex mutex_;
    std::string node_;
    logical_time last_;
    std::deque<timeline_event> events_;
};

} // namespace jasminetrack::runtime
