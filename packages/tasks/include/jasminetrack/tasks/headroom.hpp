#pragma once
/// \file
/// Capacity that lower priorities leave free for urgent work. Urgent jobs that
/// arrive every few seconds need the capacity again soon after one of them
/// releases it; lower-priority work started in between would be stopped before
/// it completes.

#include <jasminetrack/tasks/model.hpp>

#include <deque>

namespace jasminetrack::tasks
{

/// Tracks the recent peak of accelerators that urgent work uses.
class urgent_headroom
{
public:
    /// \returns the number of accelerators to leave free, in addition to those
    /// that urgent work uses.
    [[nodiscard]] std::int64_t required(milliseconds now) const noexcept;
    /// \returns the same if the next peak is expected to be as high as the last
    /// one.
    [[nodiscard]] std::int64_t recent(milliseconds now) const noexcept;

    /// Records the accelerators that urgent work holds or has reserved.
    void record(milliseconds now, std::int64_t in_use);

private:
    struct sample
    {
        milliseconds at = 0;
        std::int64_t in_use = 0;
    };

    /// \returns the recent peak, in percent, without what is in use.
    [[nodiscard]] std::int64_t beyond_use(milliseconds now,
                                          std::int64_t percent) const noexcept;

    std::deque<sample> samples_; ///< oldest first, `in_use` strictly falling
    std::int64_t in_use_ = 0;
};

} // namespace jasminetrack::tasks
