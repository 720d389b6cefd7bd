#include <jasminetrack/tasks/detail/unit_steps.hpp>

namespace jasminetrack::tasks
{
namespace
{

/// Time that every stopped run loses at least, for its restart.
constexpr milliseconds restart_cost_ms = 500;

} // namespace

resources held_by(step_spec const& s)
{
    auto held = s.need;
    if (s.filling)
        held.millicores = 0;
    return held;
}

step_spec const& detail::step_of(job_entry const& e, unit_ref const& ref)
{
    return e.job.spec.steps[static_cast<std::size_t>(ref.unit.step)];
}

bool detail::is_ready(job_entry const& e, unit_id const& id, milliseconds wall)
{
    auto const& spec = e.job.spec;
    if (spec.occurrences > 0 && wall < due_of(e.job, id.occurrence))
        return false;
    auto const& step = spec.steps[static_cast<std::size_t>(id.step)];
    for (int const before : step.after)
    {
        auto at = e.progress.units.lower_bound({id.occurrence, before, 0});
        for (;
             at != e.progress.units.end() &&
             at->first.occurrence == id.occurrence && at->first.step == before;
             ++at)
            if (at->second.phase != unit_phase::done)
                return false;
    }
    return true;
}

std::int64_t detail::accelerators_of(active_run const& a,
                                     step_spec const& s) noexcept
{
    return std::ssize(a.members) * s.need.accelerators;
}

double detail::lost_work(milliseconds now, active_run const& a,
                         step_spec const& s)
{
    // A run with checkpoints keeps its progress when it is stopped.
    auto const ran =
        a.first_sent == 0 || s.checkpoints ? 0 : now - a.first_sent;
    return core_seconds(s.need, ran + restart_cost_ms) *
           static_cast<double>(a.members.size());
}

} // namespace jasminetrack::tasks
