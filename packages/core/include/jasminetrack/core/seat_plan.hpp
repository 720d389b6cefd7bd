#pragma once
/// \file
/// Reservation of a seat for each guaranteed shape, planned for all teams
/// together.

#include <jasminetrack/core/config.hpp>
#include <jasminetrack/core/inventory.hpp>

#include <map>
#include <string>
#include <vector>

namespace jasminetrack::core
{

/// Accelerators reserved for one guaranteed shape of one team. Spare work may
/// use them, as it can be preempted.
struct seat
{
    std::string name; ///< "team#guarantee.instance", kept by each new plan
    std::string team;
    std::string region;
    shape wanted;
    assignment places; ///< empty: the guarantee is broken

    friend bool operator==(seat const&, seat const&) = default;
};

using seat_map = std::map<std::string, seat>;

/// Result of planning all seats.
struct seat_plan
{
    seat_map seats;
    std::vector<std::string> unseated; ///< names of seats without places

    friend bool operator==(seat_plan const&, seat_plan const&) = default;
};

/// Assigns places to the seats of all guarantees together.
/// \param config  teams with their guarantees
/// \param workers all known workers; only live ones are used
/// \param current the current seats; they keep their places where possible
/// \param in_use  names of the seats that guaranteed jobs use; they never move
/// \param evacuations data centers that get no new seats; unused seats there
///                move, unless the evacuation keeps them
/// \returns the seats, and the names of those without places.
/// \remarks Deterministic. Large shapes are placed first. Unused seats move
/// only if more seats can be placed that way.
[[nodiscard]] seat_plan plan_seats(configuration const& config,
                                   std::map<std::string, worker> const& workers,
                                   seat_map const& current,
                                   std::map<std::string, bool> const& in_use,
                                   evacuation_map const& evacuations = {});

/// \returns whether one of the places is in a data center whose evacuation
/// keeps its unused seats.
[[nodiscard]] bool
is_kept_in_place(assignment const& places,
                 std::map<std::string, worker> const& workers,
                 evacuation_map const& evacuations);

/// \returns the accelerators that seats reserve, as one mask per worker.
[[nodiscard]] std::map<std::string, accelerator_mask>
reserved_masks(seat_map const& seats);

} // namespace jasminetrack::core
