#pragma once
/// \file
/// Evacuated data centers: what is still there, and which guarantees cannot be
/// met until they are restored. Work that runs there runs on; jobs, seats and
/// calls are not placed there.

#include <jasminetrack/core/state.hpp>

#include <string>
#include <vector>

namespace jasminetrack::core
{

/// \returns whether the worker is in an evacuated data center.
[[nodiscard]] bool is_evacuated(cluster_state const& state, worker const& w);

/// \returns whether one of the places is in an evacuated data center.
[[nodiscard]] bool touches_evacuated(cluster_state const& state,
                                     assignment const& places);

/// What is still in an evacuated data center.
struct evacuation_status
{
    std::string data_center;
    int workers = 0;
    int gang_members = 0;           ///< of jobs that hold places
    std::vector<std::string> seats; ///< with a place there

    friend bool operator==(evacuation_status const&,
                           evacuation_status const&) = default;
};

/// \returns one entry for each evacuated data center, by name.
[[nodiscard]] std::vector<evacuation_status>
evacuation_statuses(cluster_state const& state);

/// A guarantee that cannot be met while data centers are evacuated.
struct unmet_guarantee
{
    std::string seat;
    std::string team;
    std::string region;
    std::string reason;

    friend bool operator==(unmet_guarantee const&,
                           unmet_guarantee const&) = default;
};

/// \returns the guarantees that cannot be met, or not again once the job that
/// uses their seat has ended; empty if no data center is evacuated.
[[nodiscard]] std::vector<unmet_guarantee>
find_unmet_guarantees(cluster_state const& state);

/// \param listed the workers in the platform's list
/// \returns the workers that calls may be sent to, with the condition that
/// the state knows: those outside evacuated data centers.
[[nodiscard]] std::vector<worker> call_targets(cluster_state const& state,
                                               std::vector<worker> listed);

} // namespace jasminetrack::core
