#include <jasminetrack/tasks/cost_of_delay.hpp>
#include <jasminetrack/tasks/dispatcher.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace jasminetrack::tasks
{
namespace
{

/// For so long work without room leaves workers with vulnerable runs alone.
constexpr milliseconds max_spared_ms = 1'500;
/// Interval of scheduling passes while something changes, and otherwise.
constexpr milliseconds min_schedule_interval_ms = 20;
constexpr milliseconds max_schedule_interval_ms = 500;
/// How long a unit avoids the workers on which it failed, and its last attempt
/// waits for a verified one. Workers that fail their runs are detected in less
/// time.
constexpr milliseconds max_verified_wait_ms = 2'000;
/// How long it prefers other workers to them.
constexpr milliseconds max_avoided_ms = 10'000;

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
    drop_old_clearances(now);
    for (auto& [key, list] : candidates_)
        list.current = false;
    counts_ = count_accelerators();
    for (auto const& [service, count] : counts_)
        headroom_[service].record(now, count.urgent);
    record_urgent_use(now);
    pending_utilization_.clear();
    crowded_.clear();
    suspects_in_pass_.clear();
    auto const waiting = collect_waiting(now, wall);
    note_waiting(waiting);
    for (auto const& w : waiting)
    {
        count_waiting_step(*w.entry, &priority_utilization::waiting);
        for (auto const index : w.indices)
        {
            if (start_unit(now, w, index))
                continue;
            note_unplaced(w);
            if (!may_need_other_workers(w, index))
                break; // the step's other units have the same needs
        }
    }
    update_crowding(now);
    suspects_ = suspects_in_pass_;
    update_utilization(now);
}

void dispatcher::update_crowding(milliseconds now)
{
    std::erase_if(crowded_since_, [&](auto const& entry)
                  { return crowded_.count(entry.first) == 0; });
    for (auto const& service : crowded_)
        crowded_since_.try_emplace(service, now);
}

/// Workers with vulnerable runs stay as they are for a short time only, as a
/// job must not wait for them.
bool dispatcher::spares_vulnerable(milliseconds now,
                                   std::string const& service) const
{
    auto const since = crowded_since_.find(service);
    return since == crowded_since_.end() || now - since->second < max_spared_ms;
}

bool dispatcher::may_need_other_workers(waiting_units const& w,
                                        std::int64_t index)
{
    unit_id const id{w.occurrence, w.step, index};
    auto const& u = w.entry->progress.units.at(id);
    return u.failures > 0 || !u.losses.empty() ||
           w.entry->late_starts.count({w.entry->job.id, id}) != 0;
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
    need.same_rack = wants_rack(now, q->service, need);
    if (q->advised)
        exclude_unadvised(now, ref, q->service, need);
    keep_places(now, e, ref, need);
    auto& candidates = candidates_of(now, q->service, e.priority);
    limit_companions(now, q->service, e.priority, need);
    if (clearances_.count(ref) != 0)
    {
        start_on_cleared(now, e, ref, q->service, need);
        return true;
    }
    count_same_step(candidates, ref, need);
    auto choice = choose_places(candidates, need, terms_of(now, e, ref, need));
    if (choice && need.isolated && !may_isolate_on(q->service, choice->places))
        choice.reset();
    if (choice && !arrange_members(now, e, ref, choice->places))
        choice.reset();
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
            crowded_.insert(q->service);
        count_waiting_step(e, &priority_utilization::no_room);
        return false;
    }
    if (awaits_departures(now, e, ref, need, choice->places))
        return false;
    place_or_reclaim(now, e, ref, q->service, need, *choice);
    return true;
}

void dispatcher::limit_companions(milliseconds now, std::string const& service,
                                  std::int64_t priority, unit_need& need)
{
    if (need.isolated || need.vulnerable)
        mark_starting_candidates(service, priority);
    // Many suspects together are hardly guilty.
    need.spares_vulnerable = need.isolated ? !has_many_suspects(service)
                                           : spares_vulnerable(now, service);
    if (!need.isolated)
        return;
    ++suspects_in_pass_[service];
    need.may_isolate = may_isolate(service, 1);
}

void dispatcher::place_or_reclaim(milliseconds now, job_entry& e,
                                  unit_ref const& ref,
                                  std::string const& service,
                                  unit_need const& need,
                                  reclaim_plan const& plan)
{
    if (!plan.fits_now)
    {
        reclaim(now, ref, plan, need.per_task);
        return;
    }
    if (need.isolated)
        note_suspects(service, plan.places, need.max_group);
    if (need.lent)
        log_lending(now, e, ref, service, need);
    place(now, e, ref, plan.places, need.lent);
    deduct_capacity(service, plan.places, need.per_task);
    counts_[service].held[e.priority] += need.accelerators();
    counts_[service].lent += need.lent ? need.accelerators() : 0;
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
            set_waiting_work(e, std::span(list).subspan(first));
    }
    auto const order = limits_.shed_load ? precedes_by_cost : precedes;
    std::stable_sort(list.begin(), list.end(),
                     [order](waiting_units const& a, waiting_units const& b)
                     { return order(a.key, b.key); });
    return list;
}

milliseconds dispatcher::age_of(milliseconds now, job_entry const& e,
                                std::int64_t occurrence) const
{
    auto const due = due_of(e.job, occurrence);
    return std::max<milliseconds>(0, now + wall_offset_ms_ - due);
}

ordering_key dispatcher::ordering_key_of(milliseconds now, job_entry const& e,
                                         unit_id const& id) const
{
    ordering_key key;
    key.priority = e.priority;
    key.age_ms = age_of(now, e, id.occurrence);
    key.remaining_ms = e.critical_paths[static_cast<std::size_t>(id.step)];
    key.objective_ms = e.objective_ms;
    key.below_share = is_below_share(e.service, e.priority);
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
        (has_failed_lately(now, e, ref) ? need.avoid : need.failed_on) =
            at->second;
    }
    auto const& losses = e.progress.units.at(ref.unit).losses;
    need.isolated = verdict_on(now, e, ref) == crash_verdict::isolate;
    need.vulnerable = is_vulnerable(losses);
    // The members of a gang are judged one by one, so others do not join it.
    if (need.isolated && !step.gang)
        need.max_group = max_group(losses, many_suspects_each(e.service));
    need.verification = verification_for(now, e, ref);
    // The clock of the VM that accepted the job may be ahead.
    need.waited_ms =
        std::max(age_of(now, e, ref.unit.occurrence), now - e.known_at);
    need.lasting = step.lasting;
    need.estimate_ms = std::max<milliseconds>(step.estimate_ms, 1);
    need.speeds = preferred_speeds(now, e, ref);
    need.checkpoints = step.checkpoints;
    need.avoids_departures = avoids_departures(now, e, need);
    return need;
}

bool dispatcher::has_failed_lately(milliseconds now, job_entry const& e,
                                   unit_ref const& ref)
{
    auto const at = e.failed_at.find(ref);
    return at != e.failed_at.end() && now - at->second <= max_verified_wait_ms;
}

verification_level dispatcher::verification_for(milliseconds now,
                                                job_entry const& e,
                                                unit_ref const& ref) const
{
    auto const& u = e.progress.units.at(ref.unit);
    if (u.failures == 0 || step_of(e, ref).lasting)
        return verification_level::none;
    auto const* q = queue_of(e);
    bool const last = q && u.failures + 1 >= q->max_attempts;
    return last && has_failed_lately(now, e, ref)
               ? verification_level::required
               : verification_level::preferred;
}
} // namespace jasminetrack::tasks
