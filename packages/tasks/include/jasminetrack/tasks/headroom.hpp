#pragma once
/// \file
/// How much room lower priorities leave for urgent work. Answers urgent jobs
/// that come and go every few seconds: room that one of them gives up is
/// wanted by the next at once, and work that borrows it in between is stopped
/// before it is of use.

#include <jasminetrack/tasks/model.hpp>

#include <deque>

namespace jasminetrack::tasks
{

/// Remembers the most accelerators that urgent work had lately.
class urgent_headroom
{
public:
    /// \returns accelerators to leave free, on top of those in use.
    [[nodiscard]] std::int64_t required(milliseconds now) const noexcept;

    /// Notes what urgent work has on workers, waits and stops included.
    void record(milliseconds now, std::int64_t in_use);

private:
    struct sample
    {
        milliseconds at = 0;
        std::int64_t in_use = 0;
    };

    std::deque<sample> samples_; ///< falling, oldest first
    std::int64_t in_use_ = 0;
};

} // namespace jasminetrack::tasks
