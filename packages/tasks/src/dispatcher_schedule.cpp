#include <jasminetrack/tasks/dispatcher.hpp>

#include <algorithm>
#include <tuple>

namespace jasminetrack::tasks
{
namespace
{

/// Placement runs at most this often, and at least this often.
constexpr milliseconds schedule_least_ms = 20;
constexpr milliseconds schedule_most_ms = 500;
/// Room that was stopped for is planned anew after stops took this long.
constexpr milliseconds reservation_slack_ms = 300;
/// A run that is stopped loses at least its start.
constexpr milliseconds least_lost_ms = 500;
/// Share of its worth that a job loses if it ends late.
constexpr double late_loss = 0.7;
/// An end of a run shows for this long that its worker is sound.
constexpr milliseconds proof_age_ms = 10'000;
/// A last attempt waits this long for workers that are surely sound; workers
/// that fail what they start show in less.
constexpr milliseconds proof_wait_ms = 6'000;
constexpr int doubt_failing = 1;
constexpr int doubt_crawling = 1;

} // namespace

void dispatcher::schedule(milliseconds now, milliseconds wall)
{
    auto const age = now - scheduled_at_;
    if (age < schedule_least_ms || (!changed_ && age < schedule_most_ms))
        return;
    scheduled_at_ = now;
    changed_ = false;
    serve_reservations(now);
    rooms_.clear();
    counts_ = count_rooms();
    for (auto const& [service, count] : counts_)
        headroom_[service].note(now, count.urgent);
    for (auto const& w : waiting_steps(wall))
        for (auto const index : w.indices)
            if (!start_unit(now, w, index) && !has_failed(w, index))
                break; // the step's other units need the same
}

bool dispatcher::has_failed(waiting_step const& w, std::int64_t index)
{
    return w.entry->progress.units.at({w.occurrence, w.step, index}).failures >
           0;
}

bool dispatcher::start_unit(milliseconds now, waiting_step const& w,
                            std::int64_t index)
{
    auto& e = *w.entry;
    unit_ref const ref{e.job.id, {w.occurrence, w.step, index}};
    if (reservations_.count(ref) != 0)
        return true;
    auto const* q = queue_of(e);
    if (!q)
        return false;
    auto need = need_of(now, e, ref);
    if (e.priority != 0 && !leaves_headroom(now, q->service, need))
        return false;
    if (q->advised)
        avoid_unadvised(now, ref, q->service, need);
    auto& rooms = rooms_of(now, q->service, e.priority);
    count_same_step(rooms, ref, need);
    auto const choice = choose(rooms, need, terms_of(e, ref));
    if (!choice && q->advised)
        ask_for_advice(now, ref, *q, need);
    if (!choice)
        return false;
    if (choice->fits_now)
    {
        place(now, e, ref, choice->places);
        take_room(q->service, choice->places, need.each);
    }
    else
    {
        reclaim(now, ref, *choice, need.each);
    }
    return true;
}

void dispatcher::reclaim(milliseconds now, unit_ref const& ref,
                         reclaim_plan const& plan, resources const& each)
{
    say("unit.reclaim", ref.job,
        "victims=" + std::to_string(plan.victims.size()) +
            " lost_core_s=" + std::to_string(plan.lost_work));
    reservations_[ref] = {plan.places, now};
    for (auto const& id : plan.places)
        workers_.at(id).reserved += each;
    std::vector<unit_ref> victims;
    for (auto const& [other, a] : active_)
        if (plan.victims.count(a.number) != 0)
            victims.push_back(other);
    for (auto const& other : victims)
        end_run(now, other, "stopped for job " + ref.job);
    rooms_.clear();
}

void dispatcher::take_room(std::string const& service,
                           std::vector<std::string> const& places,
                           resources const& each)
{
    for (auto& [key, rooms] : rooms_)
    {
        if (key.first != service)
            continue;
        for (auto const& id : places)
        {
            auto const at = std::lower_bound(
                rooms.begin(), rooms.end(), id,
                [](worker_room const& r, std::string const& other)
                { return r.id < other; });
            if (at == rooms.end() || at->id != id)
                continue;
            at->free -= each;
            at->reachable -= each;
        }
    }
    counts_[service].free -=
        each.accelerators * static_cast<std::int64_t>(places.size());
}

void dispatcher::count_same_step(std::vector<worker_room>& rooms,
                                 unit_ref const& ref,
                                 unit_need const& need) const
{
    if (need.most_per_worker == 0)
        return;
    for (auto& room : rooms)
    {
        room.same_step = 0;
        for (auto const& [run, o] : workers_.at(room.id).occupants)
            if (o.unit.job == ref.job && o.unit.unit.step == ref.unit.step &&
                o.unit.unit.occurrence == ref.unit.occurrence)
                ++room.same_step;
    }
}

std::vector<dispatcher::waiting_step>
dispatcher::waiting_steps(milliseconds wall)
{
    std::vector<waiting_step> list;
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
                                claim_of(e, unit, wall)});
            }
            list.back().indices.push_back(unit.index);
        }
    }
    std::stable_sort(list.begin(), list.end(),
                     [](waiting_step const& a, waiting_step const& b)
                     { return goes_before(a.claim, b.claim); });
    return list;
}

queue_claim dispatcher::claim_of(job_entry const& e, unit_id const& id,
                                 milliseconds wall) const
{
    auto const& spec = e.job.spec;
    auto const due = spec.occurrences > 0
                         ? spec.first_due_ms + id.occurrence * spec.interval_ms
                         : e.job.accepted_ms;
    queue_claim claim;
    claim.priority = e.priority;
    claim.age_ms = std::max<milliseconds>(0, wall - due);
    claim.remaining_ms = e.chains[static_cast<std::size_t>(id.step)];
    claim.objective_ms = e.objective_ms;
    return claim;
}

std::map<std::string, dispatcher::room_count> dispatcher::count_rooms() const
{
    std::map<std::string, room_count> counts;
    for (auto const& [id, w] : workers_)
    {
        auto& count = counts[w.info.service];
        if (w.listed && !w.info.draining)
            count.free += std::max<std::int64_t>(0, w.free_room().accelerators);
        count.urgent += w.reserved.accelerators;
        for (auto const& [run, o] : w.occupants)
            if (auto const job = jobs_.find(o.unit.job);
                job != jobs_.end() && job->second.priority == 0 && !o.ending)
                count.urgent += o.held.accelerators;
    }
    return counts;
}

bool dispatcher::leaves_headroom(milliseconds now, std::string const& service,
                                 unit_need const& need)
{
    auto const left =
        counts_[service].free - need.each.accelerators * need.count;
    return left >= headroom_[service].wanted(now);
}

unit_need dispatcher::need_of(milliseconds now, job_entry const& e,
                              unit_ref const& ref) const
{
    auto const& step = step_of(e, ref);
    unit_need need;
    need.each = held_by(step);
    need.count = step.gang ? step.count : 1;
    need.same_rack = step.same_rack;
    need.rack = step.rack;
    need.label = step.label;
    need.most_per_worker = step.most_per_worker;
    if (auto const at = e.failed_on.find(ref); at != e.failed_on.end())
        need.avoid = at->second;
    need.proof = proof_for(now, e, ref);
    need.waited_ms = now - e.known_at;
    need.estimate_ms = std::max<milliseconds>(step.estimate_ms, 1);
    return need;
}

proof_wanted dispatcher::proof_for(milliseconds now, job_entry const& e,
                                   unit_ref const& ref) const
{
    auto const& u = e.progress.units.at(ref.unit);
    if (u.failures == 0 || step_of(e, ref).lasting)
        return proof_wanted::none;
    auto const* q = queue_of(e);
    auto const at = e.failed_at.find(ref);
    bool const last = q && u.failures + 1 >= q->max_attempts;
    bool const lately =
        at != e.failed_at.end() && now - at->second <= proof_wait_ms;
    return last && lately ? proof_wanted::required : proof_wanted::preferred;
}

std::vector<worker_room>& dispatcher::rooms_of(milliseconds now,
                                               std::string const& service,
                                               std::int64_t priority)
{
    auto const key = std::pair(service, priority);
    auto const at = rooms_.find(key);
    if (at != rooms_.end())
        return at->second;
    auto& rooms = rooms_[key];
    for (auto const& [id, w] : workers_)
        if (w.info.service == service && may_start_on(now, w))
            rooms.push_back(room_of(now, w, priority));
    return rooms;
}

bool dispatcher::may_start_on(milliseconds now, worker_view const& w)
{
    return w.listed && !w.info.draining && !w.foreign &&
           now >= w.blocked_until && w.silent_since < 0 &&
           w.answers_lately(now);
}

worker_room dispatcher::room_of(milliseconds now, worker_view const& w,
                                std::int64_t priority) const
{
    worker_room room;
    room.id = w.info.id;
    room.rack = w.info.rack;
    room.labels = w.info.labels;
    room.free = w.free_room();
    room.capacity = w.info.capacity;
    room.reachable = w.reachable_room(now - longest_stop());
    if (now < w.avoid_until)
        room.doubt = doubt_failing + w.failures;
    auto const speed = w.pace.speed(now);
    if (speed == worker_speed::crawling)
        room.doubt += doubt_crawling;
    room.proven = w.done_at >= 0 && now - w.done_at <= proof_age_ms;
    room.slower = priority == 0 && speed == worker_speed::slower;
    if (priority != 0)
        return room;
    for (auto const& [run, o] : w.occupants)
    {
        auto const at = active_.find(o.unit);
        auto const job = jobs_.find(o.unit.job);
        if (o.ending || at == active_.end() || at->second.over ||
            job == jobs_.end() || job->second.priority <= priority)
            continue;
        auto const& step = step_of(job->second, o.unit);
        if (!step.lasting)
            room.stoppable.push_back(
                {at->second.number, o.held,
                 lost_work(now, at->second, step) +
                     lost_by_delay(now, job->second, o.unit)});
    }
    return room;
}

double dispatcher::lost_work(milliseconds now, active_run const& a,
                             step_spec const& s) const
{
    // A stop saves what a task has done, if it saves anything.
    auto const ran =
        a.first_sent == 0 || s.checkpoints ? 0 : now - a.first_sent;
    return core_seconds(s.need, ran + least_lost_ms) *
           static_cast<double>(a.members.size());
}

/// A job that a stop makes late loses most of what it is worth.
double dispatcher::lost_by_delay(milliseconds now, job_entry const& e,
                                 unit_ref const& ref) const
{
    auto const& step = step_of(e, ref);
    auto const age = now - e.known_at;
    auto const chain = e.chains[static_cast<std::size_t>(ref.unit.step)];
    bool const late_already = age > e.objective_ms;
    if (late_already || age + chain <= e.objective_ms)
        return 0;
    return late_loss * core_seconds(step.need, step.estimate_ms) *
           static_cast<double>(step.gang ? step.count : 1);
}

reclaim_terms dispatcher::terms_of(job_entry const& e,
                                   unit_ref const& ref) const
{
    auto const& step = step_of(e, ref);
    reclaim_terms terms;
    terms.may_stop = e.priority == 0;
    terms.guaranteed = terms.may_stop && is_guaranteed(e);
    terms.own_work = core_seconds(step.need, step.estimate_ms) *
                     static_cast<double>(step.gang ? step.count : 1);
    terms.far_factor = static_cast<double>(bounds_.far_factor);
    return terms;
}

bool dispatcher::is_guaranteed(job_entry const& e) const
{
    std::int64_t guaranteed = 0;
    for (auto const& t : config_.teams)
        if (t.name == e.job.team)
            guaranteed = t.guaranteed_accelerators;
    std::int64_t wanted = 0;
    for (auto const& [id, other] : jobs_)
    {
        if (other.job.team != e.job.team || other.priority != 0 ||
            is_final(other.progress.phase))
            continue;
        std::int64_t most = 0;
        for (auto const& s : other.job.spec.steps)
            most = std::max(most, s.count * s.need.accelerators);
        wanted += most;
    }
    return wanted <= guaranteed;
}

bool dispatcher::fits_now(milliseconds now, job_entry const& e,
                          unit_ref const& ref,
                          std::vector<std::string> const& places) const
{
    auto const need = held_by(step_of(e, ref));
    std::map<std::string, resources> wanted;
    for (auto const& id : places)
        wanted[id] += need;
    return std::all_of(wanted.begin(), wanted.end(),
                       [&](auto const& entry)
                       {
                           auto const& w = workers_.at(entry.first);
                           return w.answers_lately(now) &&
                                  fits(entry.second,
                                       w.free_room() + entry.second);
                       });
}

/// A stop that takes longer was lost, or its worker is out of reach.
milliseconds dispatcher::longest_stop() const noexcept
{
    return bounds_.stop_ms + reservation_slack_ms;
}

void dispatcher::serve_reservations(milliseconds now)
{
    std::vector<unit_ref> refs;
    for (auto const& [ref, r] : reservations_)
        refs.push_back(ref);
    for (auto const& ref : refs)
    {
        auto const r = reservations_.at(ref);
        auto& e = *find_job(ref.job);
        bool const sound = std::all_of(r.places.begin(), r.places.end(),
                                       [&](std::string const& id)
                                       {
                                           auto const at = workers_.find(id);
                                           return at != workers_.end() &&
                                                  at->second.listed &&
                                                  !at->second.info.draining;
                                       });
        bool const overdue = now - r.since > longest_stop();
        if (sound && fits_now(now, e, ref, r.places))
        {
            drop_reservation(ref);
            place(now, e, ref, r.places);
        }
        else if (!sound || overdue)
        {
            say("unit.reclaim_again", ref.job,
                sound ? "why=\"stops took too long\""
                      : "why=\"a worker became unfit\"");
            drop_reservation(ref);
        }
    }
}

void dispatcher::drop_reservation(unit_ref const& ref)
{
    auto const at = reservations_.find(ref);
    if (at == reservations_.end())
        return;
    auto const need = held_by(step_of(*find_job(ref.job), ref));
    for (auto const& id : at->second.places)
        if (auto const w = workers_.find(id); w != workers_.end())
            w->second.reserved -= need;
    reservations_.erase(at);
}

} // namespace jasminetrack::tasks
