/// \file
/// Simulated workers that announce that they leave, and what that costs.

#include "dispatch_simulation.hpp"

namespace support
{

void dispatch_simulation::depart_worker(std::string const& id,
                                        milliseconds notice_ms)
{
    auto& w = workers_.at(id);
    trace("depart " + id + " in " + std::to_string(notice_ms) + " ms");
    disturb();
    w.info.draining = true;
    w.info.remaining_ms = notice_ms;
    publish(id);
    schedule(notice_ms, [this, id] { remove_worker(id); });
}

void dispatch_simulation::set_version(std::string const& id,
                                      std::string version)
{
    workers_.at(id).info.version = std::move(version);
    publish(id);
}

void dispatch_simulation::count_lost_work(sim_run const& s)
{
    auto const spent = s.begun < 0 ? 0 : now_ - s.begun;
    auto const kept =
        step_of(s.run)->checkpoints ? static_cast<milliseconds>(s.done_ms) : 0;
    lost_core_seconds_ +=
        core_seconds(s.held, std::max<milliseconds>(0, spent - kept));
}

} // namespace support
