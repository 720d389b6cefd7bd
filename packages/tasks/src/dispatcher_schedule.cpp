#include "failed_runs.hpp"
#include "waiting_work.hpp"

#include <jasminetrack/tasks/cost_of_delay.hpp>
#include <jasminetrack/tasks/dispatcher.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace jasminetrack::tasks
{
namespace
{

/// Interval of scheduling passes while something changes, and otherwise.
constexpr milliseconds min_schedule_interval_ms = 20;
constexpr milliseconds max_schedule_interval_ms = 500;
/// How long a unit prefers other workers to those on which it failed.
constexpr milliseconds max_avoided_ms = 10'000;

/// \param wall  wall-clock time
/// \returns the time since the job, or its occurrence, was accepted or due.
milliseconds age_of(milliseconds wall, detail::job_entry const& e,
                    std::int64_t occurrence)
{
    auto const due = due_of(e.job, occurrence);
    return std::max<milliseconds>(0, wall - due);
}

/// \param q  the job's queue; nullptr: it has none
verification_level verification_for(milliseconds now,
                                    detail::job_entry const& e,
                                    unit_ref const& ref, queue const* q)
{
    auto const& u = e.progress.units.at(ref.unit);
    if (u.failures == 0 || step_of(e, ref).lasting)
        return verification_level::none;
    bool const last = q && u.failures + 1 >= q->max_attempts;
    return last && detail::has_failed_lately(now, e, ref)
               ? verification_level::required
               : verification_level::preferred;
}

/// \returns whether the unit may need other workers than the rest of its step,
/// as earlier runs of it have failed or lost their workers.
bool may_need_other_workers(detail::waiting_units const& w, std::int64_t index)
{
    unit_id const id{w.occurrence, w.step, index};
    auto const& u = w.entry->progress.units.at(id);
    return u.failures > 0 || !u.losses.empty() ||
           w.entry->late_starts.count({w.entry->job.id, id}) != 0;
}

} // namespace

void dispatcher::schedule(milliseconds now, milliseconds wall)
{
    auto const age = now - scheduled_at_;
    if (age < min_schedule_interval_ms ||
        (!changed_ && age < max_schedule_interval_ms))
        return;
    scheduled_at_ = now;
    if (first_pass_at_ < 0)
        first_pass_at_ = now;
    changed_ = false;
    if (std::exchange(attempts_changed_, false))
        for (auto& [id, e] : jobs_)
            update_job_phase(now, e);
    send_deferred_resends(now);
    process_reservations(now);
    count_urgent_use();
    drop_old_clearances(now);
    candidates_.begin_pass();
    shares_.begin_pass(
        now, detail::count_accelerators(workers_, jobs_, cleared_workers_));
    utilization_.pending.clear();
    crowding_.begin_pass();
    suspects_.begin_pass();
    auto const waiting = collect_waiting(now, wall);
    if (limits_.expect_departures)
        departures_.note_waiting(waiting);
    for (auto const& w : waiting)
    {
        utilization_.count_step(*w.entry, &priority_utilization::waiting);
        for (auto const index : w.indices)
        {
            if (start_unit(now, w, index))
                continue;
            if (limits_.expect_departures)
                departures_.note_unplaced(w);
            if (!may_need_other_workers(w, index))
                break; // the step's other units have the same needs
        }
    }
    crowding_.end_pass(now);
    suspects_.end_pass();
    update_utilization(now);
}

bool dispatcher::start_unit(milliseconds now, waiting_units const& w,
                            std::int64_t index)
{
    auto& e = *w.entry;
    unit_ref const ref{e.job.id, {w.occurrence, w.step, index}};
    if (awaits_earlier_run(now, e, ref))
        return true;
    auto const* q = queue_of(e);
    if (!q)
        return false;
    auto need = need_of(now, e, ref);
    if (!need.isolated)
        drop_clearance(ref);
    note_idleness(now, w, need);
    limit_wait(now, e, ref, need);
    if (is_kept_out(now, e, q->service, need))
        return false;
    need.same_rack = racks_.could_hold(now, q->service, need, workers_);
    if (q->advised)
        exclude_unadvised(now, ref, q->service, need);
    keep_places(now, e, ref, need);
    candidate_key const key{q->service, e.priority, ""};
    auto& candidates = candidates_of(now, key);
    limit_companions(now, key, need);
    if (clearances_.count(ref) != 0)
    {
        start_on_cleared(now, e, ref, q->service, need);
        return true;
    }
    count_same_step(candidates, ref, need);
    auto const choice = plan_unit(now, e, ref, need, candidates);
    if (!choice && q->advised)
        request_advice(now, ref, *q, need);
    if (!choice && e.priority == 0)
        drop_clearances_below(e.priority, q->service);
    if (!choice && need.isolated &&
        clear_workers(now, e, ref, q->service, need))
        return true;
    if (!choice)
    {
        if (!need.isolated)
            crowding_.note(q->service);
        utilization_.count_step(e, &priority_utilization::no_room);
        return false;
    }
    if (awaits_departures(now, e, ref, need, choice->places))
        return false;
    place_or_reclaim(now, e, ref, q->service, need, *choice);
    return true;
}

std::optional<reclaim_plan>
dispatcher::plan_unit(milliseconds now, job_entry const& e, unit_ref const& ref,
                      unit_need const& need,
                      std::vector<worker_candidate> const& candidates)
{
    auto const terms = terms_of(now, e, ref, need);
    auto plan = choose_places(candidates, need, terms);
    if (!plan)
        plan = claim_guarantee(now, e, ref, need, terms);
    if (plan && need.isolated && !may_isolate_on(e.service, plan->places))
        plan.reset();
    if (plan && !arrange_members(now, e, ref, plan->places))
        plan.reset();
    return plan;
}

void dispatcher::limit_companions(milliseconds now, candidate_key const& key,
                                  unit_need& need)
{
    auto const& service = key.service;
    if (need.isolated || need.vulnerable)
        mark_starting_candidates(key);
    // Many suspects together are hardly guilty.
    need.spares_vulnerable = need.isolated
                                 ? !suspects_.has_many(service)
                                 : crowding_.spares_vulnerable(now, service);
    if (!need.isolated)
        return;
    suspects_.note(service);
    need.may_isolate = shares_.may_isolate(service, 1);
}

void dispatcher::place_or_reclaim(milliseconds now, job_entry& e,
                                  unit_ref const& ref,
                                  std::string const& service,
                                  unit_need const& need,
                                  reclaim_plan const& plan)
{
    if (e.priority == 0)
        urgent_use_.held[e.job.team] += need.accelerators();
    if (!plan.fits_now)
    {
        reclaim(now, ref, plan, need.per_task);
        return;
    }
    if (need.isolated)
    {
        std::set<std::string> const workers(plan.places.begin(),
                                            plan.places.end());
        shares_.count_of(service).isolating += count_new_isolating(workers);
        candidates_.note_suspects(workers, need.max_group);
    }
    if (need.lent)
        log_decision("unit.lend", ref.job,
                     "step=" + std::to_string(ref.unit.step) +
                         " index=" + std::to_string(ref.unit.index) + " " +
                         shares_.lending_text(now, service, e.priority, need));
    place(now, e, ref, plan.places, need.lent);
    candidates_.deduct(service, plan.places, need.per_task);
    shares_.deduct(service, std::ssize(plan.places) * need.per_task);
    auto& count = shares_.count_of(service);
    count.held[e.priority] += need.accelerators();
    count.lent += need.lent ? need.accelerators() : 0;
}

std::vector<dispatcher::waiting_units>
dispatcher::collect_waiting(milliseconds now, milliseconds wall)
{
    std::vector<waiting_units> list;
    for (auto& [id, e] : jobs_)
    {
        if (is_final(e.progress.phase) || e.waiting == 0)
            continue;
        auto const first = list.size();
        for (auto const& [unit, u] : e.progress.units)
        {
            if (u.phase != unit_phase::waiting)
                continue;
            if (list.size() == first || list.back().step != unit.step ||
                list.back().occurrence != unit.occurrence)
            {
                if (!is_ready(e, unit, wall))
                    continue;
                list.push_back({&e,
                                unit.occurrence,
                                unit.step,
                                {},
                                ordering_key_of(now, e, unit)});
            }
            list.back().indices.push_back(unit.index);
        }
        if (limits_.shed_load)
            detail::set_waiting_work(e, std::span(list).subspan(first));
    }
    auto const order = limits_.shed_load ? precedes_by_cost : precedes;
    std::stable_sort(list.begin(), list.end(),
                     [order](waiting_units const& a, waiting_units const& b)
                     { return order(a.key, b.key); });
    return list;
}

ordering_key dispatcher::ordering_key_of(milliseconds now, job_entry const& e,
                                         unit_id const& id) const
{
    ordering_key key;
    key.priority = e.priority;
    key.guaranteed =
        is_guaranteed(e, e.job.spec.steps[static_cast<std::size_t>(id.step)]);
    key.age_ms = age_of(now + wall_offset_ms_, e, id.occurrence);
    key.remaining_ms = e.critical_paths[static_cast<std::size_t>(id.step)];
    key.objective_ms = e.objective_ms;
    key.below_share = shares_.is_below_share(e.service, e.priority);
    return key;
}

unit_need dispatcher::need_of(milliseconds now, job_entry const& e,
                              unit_ref const& ref) const
{
    auto const& step = step_of(e, ref);
    unit_need need;
    need.per_task = held_by(step);
    need.count = step.gang ? step.count : 1;
    need.same_rack = step.same_rack;
    need.rack = step.rack;
    need.label = step.label;
    need.most_per_worker = step.most_per_worker;
    if (auto const at = e.failed_on.find(ref); at != e.failed_on.end())
    {
        need.avoids_failed_on = now - e.failed_at.at(ref) <= max_avoided_ms;
        (detail::has_failed_lately(now, e, ref) ? need.avoid : need.failed_on) =
            at->second;
    }
    auto const& losses = e.progress.units.at(ref.unit).losses;
    need.isolated = verdict_on(now, e, ref) == crash_verdict::isolate;
    need.vulnerable = is_vulnerable(losses);
    // The members of a gang are judged one by one, so others do not join it.
    if (need.isolated && !step.gang)
        need.max_group = max_group(
            losses,
            suspects_.many_each(e.service, shares_.max_isolating(e.service)));
    need.verification = verification_for(now, e, ref, queue_of(e));
    // The clock of the VM that accepted the job may be ahead.
    need.waited_ms =
        std::max(age_of(now + wall_offset_ms_, e, ref.unit.occurrence),
                 now - e.known_at);
    need.lasting = step.lasting;
    need.estimate_ms = std::max<milliseconds>(step.estimate_ms, 1);
    need.speeds = preferred_speeds(now, e, ref);
    need.checkpoints = step.checkpoints;
    need.avoids_departures = avoids_departures(now, e, need);
    return need;
}

} // namespace jasminetrack::tasks
