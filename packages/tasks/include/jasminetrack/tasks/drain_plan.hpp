#pragma once
/// \file
/// Decides when a run ends whose worker leaves: at once, at the last moment, or
/// not at all. Handles load where workers leave with a notice of seconds and
/// gangs run for longer than that. A gang is decided once, by the first of its
/// workers to leave.

#include <jasminetrack/tasks/model.hpp>

namespace jasminetrack::tasks
{

/// What the workers reported of a run's progress.
struct run_report
{
    milliseconds ran_ms = 0; ///< between the reports of the two percentages
    milliseconds age_ms = 0; ///< since the newest report
    std::int64_t first_percent = 0; ///< of the work, when it started
    std::int64_t percent = 0;       ///< of the work, in the newest report
    milliseconds estimate_ms = 0;   ///< of the whole run

    friend bool operator==(run_report const&, run_report const&) = default;
};

/// The time that a run still takes.
struct remaining_time
{
    milliseconds least_ms = 0; ///< with all errors in its favour
    milliseconds expected_ms = 0;

    friend bool operator==(remaining_time const&,
                           remaining_time const&) = default;
};

[[nodiscard]] remaining_time project(run_report const& r) noexcept;

/// A run with at least one worker that leaves.
struct leaving_run
{
    milliseconds notice_ms = 0; ///< until the first of its workers leaves
    milliseconds max_stop_ms = 0;
    remaining_time remaining;
    bool checkpoints = false;
    /// Other waiting work can use what it holds on workers that stay.
    bool place_is_wanted = false;

    friend bool operator==(leaving_run const&, leaving_run const&) = default;
};

/// \returns whether it completes in time if all errors are in its favour.
[[nodiscard]] bool may_complete(leaving_run const& r) noexcept;

enum class drain_action : std::uint8_t
{
    go_on,
    end_now,
    end_later,
};

enum class drain_reason : std::uint8_t
{
    completes,       ///< before its worker leaves
    keeps_progress,  ///< it saves a checkpoint at the last moment
    may_complete,    ///< if the projection is wrong
    place_not_used,  ///< no other work would gain by an earlier end
    place_is_wanted, ///< it cannot complete and other work can start
    last_moment,     ///< a later stop would not complete
};

[[nodiscard]] char const* to_text(drain_reason r) noexcept;

struct drain_verdict
{
    drain_action action = drain_action::go_on;
    drain_reason reason = drain_reason::completes;
    milliseconds end_in_ms = 0; ///< when the run is ended, unless it goes on

    friend bool operator==(drain_verdict const&,
                           drain_verdict const&) = default;
};

[[nodiscard]] drain_verdict plan_drain(leaving_run const& r) noexcept;

} // namespace jasminetrack::tasks
