/// \file
/// Checks that no unit stands still in a calm simulation while there is room.

#include "dispatch_simulation.hpp"

#include <algorithm>

namespace support
{
namespace
{

constexpr milliseconds interval_ms = 100;
/// A lasting task may be without a run for this time after its last one.
constexpr milliseconds lasting_pause_ms = 6'000;
/// Waits of docs/WAITS.md that a unit may have after its own faults: for a
/// verified worker before its last attempt, and isolated after losses.
constexpr milliseconds max_verified_wait_ms = 2'500;
constexpr milliseconds max_isolation_ms = 2'000;
constexpr milliseconds max_repeated_isolation_ms = 20'000;

} // namespace

void dispatch_simulation::disturb()
{
    idle_waits_.disturb(now_);
}

unit_id dispatch_simulation::unit_of(task_run const& run) const
{
    auto const& task = run.task;
    return {task.occurrence, task.step, step_of(run)->gang ? 0 : task.index};
}

void dispatch_simulation::note_losses(sim_worker const& w)
{
    for (auto const& [run, s] : w.runs)
    {
        auto& j = jobs_.at(run.task.job);
        ++j.crashed_under[run.task];
        j.losses[unit_of(run)].note(now_);
    }
}

void dispatch_simulation::note_end(task_run const& run, run_end how)
{
    auto& j = jobs_.at(run.task.job);
    // A run may be shorter than the interval of the check.
    if (step_of(run)->lasting)
        j.last_run_at[unit_of(run)] = now_;
    if (how == run_end::failed)
        j.failures[unit_of(run)].note(now_);
    if (how == run_end::lapsed)
        j.losses[unit_of(run)].note(now_);
}

void dispatch_simulation::note_hold(std::size_t node, decision const& d)
{
    if (node != leader_)
        return;
    if (d.step == "job.held")
        holds_[d.job] = d.text.substr(0, d.text.find(' '));
    if (d.step == "job.released")
        holds_.erase(d.job);
}

bool dispatch_simulation::is_disturbed(sim_worker const& w) const
{
    auto const entry = list_.find(w.info.id);
    if (!w.up)
        return entry != list_.end();
    return w.disconnected || w.refuses > 0 || w.info.draining ||
           entry == list_.end() || entry->second != w.info;
}

bool dispatch_simulation::is_disturbed() const
{
    if (!has_leader() || log_down_ || list_down_ || cut_node_ ||
        !cut_links_.empty() || !cut_from_log_.empty() || !frozen_.empty() ||
        !unread_entries_.empty())
        return true;
    auto const has_no_worker = [&](auto const& entry)
    { return workers_.count(entry.first) == 0; };
    return std::any_of(list_.begin(), list_.end(), has_no_worker) ||
           std::any_of(workers_.begin(), workers_.end(),
                       [&](auto const& entry)
                       { return is_disturbed(entry.second); });
}

void dispatch_simulation::check_idle_waits()
{
    if (now_ % interval_ms != 0)
        return;
    note_lasting_runs();
    if (is_disturbed())
        disturb();
    std::map<std::string, std::string> waiting;
    if (idle_waits_.is_calm(now_))
        waiting = idle_waits();
    for (auto const& text : idle_waits_.update(now_, waiting))
        report_violation(violation_kind::idle_wait, text);
}

void dispatch_simulation::note_lasting_runs()
{
    for (auto const& [id, w] : workers_)
        for (auto const& [run, s] : w.runs)
            if (step_of(run)->lasting)
                jobs_.at(run.task.job).last_run_at[unit_of(run)] = now_;
}

std::map<std::string, std::string> dispatch_simulation::idle_waits() const
{
    std::map<std::string, std::string> waiting;
    std::map<std::pair<std::string, bool>, service_room> rooms;
    for (auto const& [id, j] : jobs_)
    {
        auto const* q = j.accepted_by();
        if (!q || j.cancelled || is_final(phase(id)))
            continue;
        std::pair const key(q->service, q->advised);
        if (rooms.count(key) == 0)
            rooms[key] = room_of(*q);
        add_idle_waits(j, rooms.at(key), waiting);
    }
    return waiting;
}

dispatch_simulation::service_room
dispatch_simulation::room_of(queue const& q) const
{
    service_room room;
    for (auto const& [id, w] : workers_)
    {
        if (!w.up || w.info.service != q.service ||
            evacuated_.count(w.info.zone) != 0)
            continue;
        worker_room r{w.info.labels, w.info.capacity - held_on(w), {}};
        for (auto const& [run, s] : w.runs)
            r.tasks.push_back(run.task);
        room.use.capacity += w.info.capacity;
        room.use.held += held_on(w);
        if (!q.advised || forbidden_.count(id) == 0)
            room.workers.push_back(std::move(r));
    }
    return room;
}

void dispatch_simulation::add_idle_waits(
    sim_job const& j, service_room const& room,
    std::map<std::string, std::string>& waiting) const
{
    bool const counts = running(j.job.id) == 0 && is_under_half(room.use);
    auto const& steps = j.job.spec.steps;
    bool const lasts = std::any_of(steps.begin(), steps.end(),
                                   [](auto const& s) { return s.lasting; });
    if (!counts && !lasts)
        return;
    for (auto const& u : ready_units(j))
    {
        bool const is_watched =
            u.step->lasting ? is_long_without_run(j, u.id) : counts;
        if (!is_watched || may_wait_after_faults(j, u.id) ||
            !holds_twice(room.workers, u))
            continue;
        auto const& name = u.step->lasting ? u.name() : j.job.id;
        waiting.try_emplace(name, describe_wait(u, room));
    }
}

std::string dispatch_simulation::describe_wait(ready_unit const& u,
                                               service_room const& room) const
{
    auto const hold = holds_.find(u.job);
    auto const count = u.step->gang ? u.step->count : 1;
    return u.name() + " waits, " + std::to_string(count) + " x " +
           to_text(u.step->need) + (u.step->same_rack ? " in one rack" : "") +
           (u.step->lasting ? ", lasting" : "") + ", " + to_text(room.use) +
           ", held: " + (hold == holds_.end() ? "not said" : hold->second);
}

bool dispatch_simulation::is_long_without_run(sim_job const& j,
                                              unit_id const& id) const
{
    auto const at = j.last_run_at.find(id);
    return at == j.last_run_at.end() || now_ - at->second >= lasting_pause_ms;
}

bool dispatch_simulation::may_wait_after_faults(sim_job const& j,
                                                unit_id const& id) const
{
    auto const* q = j.accepted_by();
    auto const& step = j.job.spec.steps.at(static_cast<std::size_t>(id.step));
    auto const failures = j.failures.find(id);
    if (failures != j.failures.end() && !step.lasting &&
        failures->second.count + 1 >= q->max_attempts &&
        now_ - failures->second.last < max_verified_wait_ms)
        return true;
    auto const losses = j.losses.find(id);
    if (losses == j.losses.end())
        return false;
    auto const longest =
        losses->second.count > 1 ? max_repeated_isolation_ms : max_isolation_ms;
    return now_ - losses->second.last < longest;
}

std::vector<ready_unit> dispatch_simulation::ready_units(sim_job const& j) const
{
    auto const& spec = j.job.spec;
    auto const record = log_.find(j.job.id);
    auto const progress = record == log_.end()
                              ? initial_progress(spec)
                              : *decode_progress(record->second, spec);
    auto const done = done_units(j.job.id, progress);
    auto const present = present_units(j.job.id);
    std::vector<ready_unit> ready;
    for (auto const& [id, u] : progress.units)
        if (u.phase != unit_phase::failed && done.count(id) == 0 &&
            present.count(id) == 0 && has_turn(spec, progress, done, id))
            ready.push_back(
                {j.job.id, id, &spec.steps[static_cast<std::size_t>(id.step)]});
    return ready;
}

/// Includes the units whose end the dispatcher has not read yet.
std::set<unit_id>
dispatch_simulation::done_units(std::string const& job,
                                job_progress const& progress) const
{
    std::set<unit_id> done;
    for (auto const& [id, u] : progress.units)
        if (u.phase == unit_phase::done)
            done.insert(id);
    for (auto const& [id, w] : workers_)
        for (auto const& e : w.ends)
            if (w.up && e.how == run_end::done && e.run.task.job == job &&
                !step_of(e.run)->lasting)
                done.insert(unit_of(e.run));
    return done;
}

std::set<unit_id>
dispatch_simulation::present_units(std::string const& job) const
{
    std::set<unit_id> present;
    for (auto const& [id, w] : workers_)
        for (auto const& [run, s] : w.runs)
            if (run.task.job == job)
                present.insert(unit_of(run));
    return present;
}

bool dispatch_simulation::has_turn(job_spec const& spec,
                                   job_progress const& progress,
                                   std::set<unit_id> const& done,
                                   unit_id const& id) const
{
    if (spec.occurrences > 0 &&
        now_ < spec.first_due_ms + id.occurrence * spec.interval_ms)
        return false;
    auto const& after = spec.steps[static_cast<std::size_t>(id.step)].after;
    auto const is_before = [&](unit_id const& other)
    {
        return other.occurrence == id.occurrence &&
               std::find(after.begin(), after.end(), other.step) != after.end();
    };
    return std::all_of(progress.units.begin(), progress.units.end(),
                       [&](auto const& entry) {
                           return !is_before(entry.first) ||
                                  done.count(entry.first) != 0;
                       });
}

} // namespace support
