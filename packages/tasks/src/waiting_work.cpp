#include "waiting_work.hpp"

#include <jasminetrack/tasks/detail/unit_steps.hpp>

#include <algorithm>

namespace jasminetrack::tasks::detail
{

std::int64_t tasks_of_unit(step_spec const& s) noexcept
{
    return s.gang ? s.count : 1;
}

milliseconds estimate_of(step_spec const& s) noexcept
{
    return std::max<milliseconds>(s.estimate_ms, 1);
}

void set_waiting_work(job_entry const& e, std::span<waiting_units> steps)
{
    if (steps.empty())
        return;
    std::map<std::int64_t, double> work; // by occurrence
    for (auto const& [id, u] : e.progress.units)
    {
        auto const& step = e.job.spec.steps[static_cast<std::size_t>(id.step)];
        if (u.phase == unit_phase::waiting)
            work[id.occurrence] += core_seconds(
                held_by(step), tasks_of_unit(step) * estimate_of(step));
    }
    for (auto& s : steps)
        s.key.work_core_s = work[s.occurrence];
}

} // namespace jasminetrack::tasks::detail
