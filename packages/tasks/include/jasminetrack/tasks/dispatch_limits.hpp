#pragma once
/// \file
/// Limits of the platform within which the dispatcher works.

#include <jasminetrack/tasks/model.hpp>

namespace jasminetrack::tasks
{

/// Limits that the platform defines.
struct dispatch_limits
{
    milliseconds max_lease_ms = 10'000; ///< workers cap longer leases
    milliseconds max_stop_ms = 900;     ///< longest time that a stop takes
    /// Time for which a started member waits for the rest of its gang.
    milliseconds gang_wait_ms = 3'000;
    /// Time in which guaranteed work must start by reclaiming accelerators.
    milliseconds max_reclaim_ms = 3'400;
    /// Slowdown of a gang that spans racks, and of a task whose data is in
    /// another rack.
    std::int64_t far_factor = 3;
    /// Interval at which workers report their state to the list.
    milliseconds heartbeat_ms = 1'500;
    /// A start may rely on a capacity that has changed within this time and a
    /// heartbeat, as the list may not show the change before.
    milliseconds unseen_change_ms = 4'000;
    /// Nothing is started in a data center later than this after its evacuation
    /// was recorded; 0: no limit.
    milliseconds evacuation_bound_ms = 0;
    /// Whether the speeds of workers are learned from the progress of their
    /// tasks and order the candidates of all priorities; see worker_speeds.hpp.
    bool learn_speeds = false;

    /// Whether tasks of a job that runs already may wait by choice in an idle
    /// service, as only a job that stands still must not.
    bool wait_beside_running = false;
    /// Lower priorities may use a part of the headroom for urgent work.
    bool lend_headroom = false;
    /// Waiting work is ordered by its cost of delay, and new jobs that would
    /// expire before they end are refused.
    bool shed_load = false;
    /// Plans for workers that leave at short notice.
    bool expect_departures = false;

    friend bool operator==(dispatch_limits const&,
                           dispatch_limits const&) = default;
};

} // namespace jasminetrack::tasks
