#include <jasminetrack/tasks/detail/departure_state.hpp>

#include <jasminetrack/tasks/detail/unit_steps.hpp>

#include <algorithm>
#include <limits>

namespace jasminetrack::tasks::detail
{
namespace
{

waiting_need waiting_need_of(waiting_units const& w)
{
    auto const& step =
        w.entry->job.spec.steps[static_cast<std::size_t>(w.step)];
    return {w.entry->job.id, step.label, held_by(step),
            step.gang ? step.count : 1};
}

std::int64_t times_in(std::int64_t need, std::int64_t available)
{
    if (need <= 0)
        return std::numeric_limits<std::int64_t>::max();
    return std::max<std::int64_t>(0, available) / need;
}

bool has_label(worker_info const& w, std::string const& label)
{
    return label.empty() ||
           std::find(w.labels.begin(), w.labels.end(), label) != w.labels.end();
}

std::int64_t tasks_on(waiting_need const& need, free_place const& place)
{
    if (!has_label(*place.worker, need.label))
        return 0;
    auto const& free = place.free;
    return std::min({times_in(need.per_task.millicores, free.millicores),
                     times_in(need.per_task.memory_mb, free.memory_mb),
                     times_in(need.per_task.accelerators, free.accelerators),
                     need.count});
}

} // namespace

bool fits_on(waiting_need const& need, std::vector<free_place> const& places)
{
    std::int64_t tasks = 0;
    for (auto const& place : places)
        tasks += tasks_on(need, place);
    return tasks >= need.count;
}

void departure_state::note_waiting(std::vector<waiting_units> const& list)
{
    waiting.clear();
    unplaced.clear();
    for (auto const& w : list)
        waiting[w.entry->service].push_back(waiting_need_of(w));
}

/// A gang that waits for departures has places.
void departure_state::note_unplaced(waiting_units const& w)
{
    unit_ref const gang{w.entry->job.id, {w.occurrence, w.step, 0}};
    if (!waits.is_waiting(gang))
        unplaced[w.entry->service].push_back(waiting_need_of(w));
}

void departure_state::note_move(unit_ref const& ref, std::string const& service,
                                double lost_core_seconds)
{
    ++moves[ref];
    ++losses[service].runs;
    losses[service].core_seconds += lost_core_seconds;
}

std::int64_t departure_state::moves_of(unit_ref const& ref) const
{
    auto const at = moves.find(ref);
    return at == moves.end() ? 0 : at->second;
}

std::int64_t departure_state::moves_of_job(std::string const& job) const
{
    std::int64_t sum = 0;
    for (auto at = moves.lower_bound({job, {}});
         at != moves.end() && at->first.job == job; ++at)
        sum += at->second;
    return sum;
}

void departure_state::erase_job(std::string const& job)
{
    auto const is_of_job = [&](auto const& entry)
    { return entry.first.job == job; };
    std::erase_if(moves, is_of_job);
    std::erase_if(verdicts, is_of_job);
    waits.erase_job(job);
}

} // namespace jasminetrack::tasks::detail
