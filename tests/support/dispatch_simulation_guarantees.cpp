/// \file
/// Checks that urgent work within its team's guarantee begins in time.

#include "dispatch_simulation.hpp"

#include <jasminetrack/tasks/guarantees.hpp>

namespace support
{
namespace
{

constexpr milliseconds interval_ms = 100;
constexpr milliseconds max_reclaim_ms = dispatch_limits{}.max_reclaim_ms;

} // namespace

bool dispatch_simulation::wants_guarantee(sim_job const& j) const
{
    auto const* const q = j.accepted_by();
    return q && q->priority == 0 && !j.cancelled && !is_final(phase(j.job.id));
}

void dispatch_simulation::check_guarantees()
{
    if (!faults_.checks_guarantees || now_ % interval_ms != 0)
        return;
    accelerators_by_team wanted;
    for (auto const& [id, j] : jobs_)
        if (wants_guarantee(j))
            wanted[j.job.team] += largest_need(j.job.spec);
    for (auto& [id, j] : jobs_)
    {
        bool const counts =
            wants_guarantee(j) && j.begun_at < 0 && idle_waits_.is_calm(now_) &&
            wanted[j.job.team] <= guarantee_of(config_, j.job.team);
        if (!counts)
            j.guaranteed_since = now_;
        if (now_ - j.guaranteed_since <= max_reclaim_ms)
            continue;
        report_violation(violation_kind::late_guarantee,
                         id + " of " + j.job.team + " has not begun");
        j.guaranteed_since = now_;
    }
}

} // namespace support
