#pragma once
/// \file
/// What happened on this process, stamped so that the time lines of many
/// processes merge in an order that respects cause.

#include <compare>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace jasminetrack::runtime
{

/// A hybrid logical time: wall time, pushed on by every time seen.
struct logical_time
{
    std::int64_t wall_ms = 0;
    std::uint32_t step = 0; ///< orders events of one millisecond

    friend auto operator<=>(logical_time const&, logical_time const&) = default;
};

struct timeline_event
{
    logical_time at;
    std::string node;
    std::int64_t offset = -1; ///< of the log record behind it; -1: none
    std::string kind;
    std::string key;
    std::string text;
};

/// The newest events of a process. Safe to use from several threads.
class timeline
{
public:
    explicit timeline(std::string node);

    /// \returns the newest `max_count` events, oldest first.
    [[nodiscard]] std::vector<timeline_event>
    recent(std::size_t max_count) const;
    [[nodiscard]] logical_time now();

    /// A time seen from elsewhere; later events come after it.
    void observe(std::int64_t wall_ms);
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
