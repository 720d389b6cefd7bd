#pragma once
/// \file
/// How the accelerators of a service are used at one moment, and why waiting
/// work was not placed. For logs and metrics only; no decision depends on it.

#include <jasminetrack/tasks/hold_reason.hpp>
#include <jasminetrack/tasks/worker_pace.hpp>

namespace jasminetrack::tasks
{

/// Utilization by one priority.
struct priority_utilization
{
    std::int64_t held = 0;     ///< accelerators, including ending runs
    std::int64_t waiting = 0;  ///< steps that are ready and not placed yet
    std::int64_t kept_out = 0; ///< of these: held back to keep the headroom
    std::int64_t no_room = 0;  ///< of these: do not fit on any workers now

    friend bool operator==(priority_utilization const&,
                           priority_utilization const&) = default;
};

/// Utilization of one service, in accelerators.
struct service_utilization
{
    std::int64_t capacity = 0;    ///< of all listed workers
    std::int64_t free = 0;        ///< on workers that accept starts
    std::int64_t unfit = 0;       ///< on workers that accept no starts
    std::int64_t reserved = 0;    ///< for units that wait for stops
    std::int64_t headroom = 0;    ///< kept free for urgent work
    std::int64_t lent = 0;        ///< held by work within the headroom
    std::int64_t least_share = 0; ///< of each lower priority
    std::int64_t spread =
        0; ///< held by gangs that want one rack but span several
    std::map<std::int64_t, priority_utilization> priorities;
    std::int64_t evacuated_runs = 0; ///< in evacuated data centers
    std::int64_t departures_per_minute = 0;
    std::int64_t departed_runs = 0;         ///< ended by departures, in total
    std::int64_t departed_core_seconds = 0; ///< lost by them, in total
    unfit_counts unfit_by;                  ///< `unfit` by its cause
    hold_counts held_units; ///< units of ready steps without a run
    /// Listed workers; empty unless speeds are learned.
    std::map<worker_speed, std::int64_t> speeds;

    friend bool operator==(service_utilization const&,
                           service_utilization const&) = default;
};

/// \returns "key=value" fields; values by priority are "PRIORITY:NUMBER,...".
[[nodiscard]] std::string to_text(service_utilization const& c);

} // namespace jasminetrack::tasks
