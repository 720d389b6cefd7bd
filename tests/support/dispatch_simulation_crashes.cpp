/// \file
/// Workers whose processes crash, by themselves or because of a task, and what
/// a dispatcher must keep to then.

#include "dispatch_simulation.hpp"

#include <algorithm>

namespace support
{
namespace
{

constexpr milliseconds usual_restart_ms = 3'000;
constexpr milliseconds min_restart_ms = 1'000;
/// Three heartbeats.
constexpr milliseconds unlisted_after_ms = 4'500;
/// A crashing task may be started `max_late_starts` times after this many
/// crashes, and its job may be given up after `min_crashes_to_fail`.
constexpr int max_crashes = 3;
constexpr int max_late_starts = 2;
constexpr int min_crashes_to_fail = 2;

} // namespace

bool dispatch_simulation::is_crashing(sim_run const& s) const
{
    auto const& work = jobs_.at(s.run.task.job).work;
    return s.run.task.index == work.crashing_task &&
           now_ - s.arrived >= work.crash_after_ms;
}

void dispatch_simulation::crash_workers_of_crashing_tasks()
{
    std::vector<std::string> crashing;
    for (auto const& [id, w] : workers_)
        for (auto const& [run, s] : w.runs)
        {
            if (!is_crashing(s))
                continue;
            ++jobs_.at(run.task.job).crashes;
            crashing.push_back(id);
            break;
        }
    for (auto const& id : crashing)
        crash_for_a_while(id);
}

void dispatch_simulation::crash_for_a_while(std::string const& id)
{
    auto& w = workers_.at(id);
    if (!w.up)
        return;
    disturb();
    note_losses(w);
    trace("crash " + id);
    w.up = false;
    w.runs.clear();
    schedule(restart_time(),
             [this, id, how = comeback_] { bring_back(id, how); });
}

milliseconds dispatch_simulation::restart_time()
{
    if (faults_.max_restart_ms == usual_restart_ms)
        return usual_restart_ms;
    return between(min_restart_ms, faults_.max_restart_ms);
}

bool dispatch_simulation::is_replaced(std::string const& id,
                                      std::string const& address) const
{
    return std::any_of(workers_.begin(), workers_.end(),
                       [&](auto const& entry)
                       {
                           auto const& w = entry.second;
                           return w.info.id != id && w.up && !w.disconnected &&
                                  w.info.address == address;
                       });
}

void dispatch_simulation::bring_back(std::string const& id, comeback how)
{
    if (how == comeback::same_id)
    {
        auto& w = workers_.at(id);
        w.up = true;
        crash_worker(id);
        publish(id);
        return;
    }
    auto const old = workers_.at(id).info;
    auto const fresh = id + "+";
    trace("back " + id + " as " + fresh);
    add_worker(fresh, old.rack, old.capacity, old.address, old.labels.front());
    schedule(unlisted_after_ms - usual_restart_ms,
             [this, id] { write_entry(id, std::nullopt); });
}

void dispatch_simulation::check_crash_budget(start_order const& o,
                                             std::string const& name)
{
    auto& j = jobs_.at(o.run.task.job);
    if (o.run.task.index != j.work.crashing_task ||
        j.crashed_under[o.run.task] < max_crashes)
        return;
    ++j.starts_too_late;
    if (j.starts_too_late > max_late_starts)
        report_violation(violation_kind::crash_budget,
                         name + " started again after " +
                             std::to_string(j.crashed_under[o.run.task]) +
                             " workers crashed under it");
}

void dispatch_simulation::check_failed_job(log_record const& r)
{
    auto const at = jobs_.find(r.key);
    auto const summary = decode_summary(r.value);
    if (at == jobs_.end() || !summary || summary->phase != job_phase::failed)
        return;
    auto const& j = at->second;
    auto const* q = j.accepted_by();
    bool has_cause = !q || j.failed_ends >= q->max_attempts;
    for (auto const& [task, crashes] : j.crashed_under)
        has_cause = has_cause || crashes >= min_crashes_to_fail;
    if (!has_cause)
        report_violation(violation_kind::failed_job,
                         r.key + " failed without a cause");
}

} // namespace support
