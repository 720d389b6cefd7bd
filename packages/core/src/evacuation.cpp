#include <jasminetrack/core/evacuation.hpp>

#include <algorithm>

namespace jasminetrack::core
{
namespace
{

/// \returns the data center of a worker; empty if the worker is not known.
std::string data_center_of(cluster_state const& s,
                           std::string const& worker_name)
{
    auto const found = s.workers.find(worker_name);
    return found == s.workers.end() ? "" : found->second.data_center;
}

int count_places(cluster_state const& s, assignment const& places,
                 std::string const& data_center)
{
    return static_cast<int>(std::count_if(
        places.begin(), places.end(),
        [&](accelerator_range const& place)
        { return data_center_of(s, place.worker) == data_center; }));
}

evacuation_status status_of(cluster_state const& s,
                            std::string const& data_center)
{
    evacuation_status status{data_center, 0, 0, {}};
    for (auto const& [name, w] : s.workers)
        status.workers += w.data_center == data_center ? 1 : 0;
    for (auto const& id : s.ledger.active())
        status.gang_members +=
            count_places(s, s.jobs.at(id).places, data_center);
    for (auto const& [name, seat] : s.seats)
        if (count_places(s, seat.places, data_center) > 0)
            status.seats.push_back(name);
    return status;
}

/// \returns the seats that would have no places if the jobs in evacuated data
/// centers ended now.
std::vector<std::string> seats_without_room(cluster_state const& s)
{
    auto in_use = seats_in_use(s);
    std::erase_if(
        in_use, [&](auto const& entry)
        { return touches_evacuated(s, s.seats.at(entry.first).places); });
    return plan_seats(s.config, s.workers, s.seats, in_use, s.evacuations)
        .unseated;
}

} // namespace

bool is_evacuated(cluster_state const& state, worker const& w)
{
    return state.evacuations.count(w.data_center) != 0;
}

bool touches_evacuated(cluster_state const& state, assignment const& places)
{
    return std::any_of(places.begin(), places.end(),
                       [&](accelerator_range const& place) {
                           return state.evacuations.count(
                                      data_center_of(state, place.worker)) != 0;
                       });
}

std::vector<evacuation_status> evacuation_statuses(cluster_state const& state)
{
    std::vector<evacuation_status> all;
    for (auto const& [data_center, e] : state.evacuations)
        all.push_back(status_of(state, data_center));
    return all;
}

std::vector<unmet_guarantee> find_unmet_guarantees(cluster_state const& state)
{
    if (state.evacuations.empty())
        return {};
    auto const without_room = seats_without_room(state);
    std::vector<unmet_guarantee> unmet;
    for (auto const& [name, s] : state.seats)
    {
        bool const has_room =
            std::find(without_room.begin(), without_room.end(), name) ==
            without_room.end();
        std::string reason;
        if (s.places.empty())
            reason = "no room on the workers in service";
        else if (is_kept_in_place(s.places, state.workers, state.evacuations))
            reason = "its seat stays in an evacuated data center";
        else if (!has_room)
            reason = "no room on the workers in service once the job on its "
                     "seat has ended";
        else
            continue;
        unmet.push_back({name, s.team, s.region, reason});
    }
    return unmet;
}

std::vector<worker> call_targets(cluster_state const& state,
                                 std::vector<worker> listed)
{
    std::erase_if(listed,
                  [&](worker const& w) { return is_evacuated(state, w); });
    for (auto& w : listed)
    {
        auto const known = state.workers.find(w.name);
        if (known != state.workers.end() &&
            w.condition == worker_condition::live &&
            known->second.condition == worker_condition::lost)
            w.condition = worker_condition::lost;
    }
    return listed;
}

} // namespace jasminetrack::core
