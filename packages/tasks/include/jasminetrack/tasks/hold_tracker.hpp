#pragma once
/// \file
/// Tracks jobs that have nothing running though a task of theirs could run, so
/// that the logs name what holds each of them.

#include <jasminetrack/tasks/hold_reason.hpp>

#include <optional>
#include <vector>

namespace jasminetrack::tasks
{

/// A job that is held for longer than `min_held_ms`, for a new reason, or one
/// that is held no longer.
struct hold_change
{
    std::string job;
    std::optional<hold_reason> reason; ///< nothing: it is held no longer
    milliseconds held_ms = 0;

    friend bool operator==(hold_change const&, hold_change const&) = default;
};

/// All times are on one monotonic clock.
class hold_tracker
{
public:
    /// Shorter waits are part of each start.
    static constexpr milliseconds min_held_ms = 1'000;
    /// Bounds the volume of the log: of an update, with further ones left to
    /// later updates.
    static constexpr std::size_t max_reports = 20;

    /// \param held  all jobs that are held now
    /// \returns what is to be logged.
    [[nodiscard]] std::vector<hold_change>
    update(milliseconds now, std::map<std::string, hold_reason> const& held);

private:
    struct held_job
    {
        milliseconds since = 0;
        std::optional<hold_reason> reported;
    };

    std::map<std::string, held_job> jobs_;
};

} // namespace jasminetrack::tasks
