/// \file
/// Evacuations of data centers in the simulated fleet.

#include "dispatch_simulation.hpp"

namespace support
{

void dispatch_simulation::evacuate(std::string const& data_center,
                                   bool in_force)
{
    trace((in_force ? "evacuate " : "restore ") + data_center);
    disturb();
    if (in_force)
        evacuated_.try_emplace(data_center, now_);
    else
        evacuated_.erase(data_center);
}

/// A frozen dispatcher reads nothing, and so does one that is cut off from the
/// log.
void dispatch_simulation::read_evacuations()
{
    if (log_down_ || faults_.evacuation_bound_ms == 0)
        return;
    std::set<std::string> data_centers;
    for (auto const& [data_center, since] : evacuated_)
        data_centers.insert(data_center);
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        if (nodes_[i] && frozen_.count(i) == 0 && !is_cut_from_log(i))
            schedule(latency(),
                     [this, i, data_centers, as_of = now_]
                     {
                         if (nodes_[i] && frozen_.count(i) == 0)
                             nodes_[i]->set_evacuations(now_, data_centers,
                                                        as_of);
                     });
}

void dispatch_simulation::check_evacuation(sim_worker const& w,
                                           std::string const& name)
{
    auto const at = evacuated_.find(w.info.zone);
    if (at != evacuated_.end() && faults_.evacuation_bound_ms > 0 &&
        now_ - at->second > faults_.evacuation_bound_ms)
        report_violation(violation_kind::evacuated,
                         name + " started " +
                             std::to_string(now_ - at->second) +
                             " ms after the evacuation");
}

} // namespace support
