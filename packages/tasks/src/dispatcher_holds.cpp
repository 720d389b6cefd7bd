#include <jasminetrack/tasks/dispatcher.hpp>

#include <algorithm>
#include <utility>

namespace jasminetrack::tasks
{
namespace
{

constexpr milliseconds hold_interval_ms = 500;

std::string release_text(milliseconds wall, hold_change const& c,
                         detail::held_unit const& held)
{
    auto const age = std::max<milliseconds>(0, wall - held.due_ms);
    return "held_ms=" + std::to_string(c.held_ms) +
           " age_ms=" + std::to_string(age);
}

/// \param worker  the member's; nullptr: not known
/// \returns what the member waits for; nothing if it runs.
std::optional<hold_reason> hold_of_member(detail::member const& m,
                                          worker_view const* worker,
                                          bool role_is_proven)
{
    bool const is_reached = worker && worker->token_known();
    bool const is_silent = worker && worker->unresponsive_since >= 0;
    switch (m.phase)
    {
    case detail::member_phase::recorded:
        return hold_reason::placement_not_stored;
    case detail::member_phase::awaiting_late_start:
        return hold_reason::late_start;
    case detail::member_phase::adopted:
        if (is_silent)
            return is_reached ? hold_reason::worker_silent
                              : hold_reason::worker_unreached;
        return hold_reason::start_unanswered;
    case detail::member_phase::starting:
    case detail::member_phase::unconfirmed:
        if (is_silent)
            return hold_reason::worker_silent;
        return role_is_proven ? hold_reason::start_unanswered
                              : hold_reason::role_unproven;
    case detail::member_phase::running:
        return is_silent ? std::optional(hold_reason::worker_silent)
                         : std::nullopt;
    case detail::member_phase::released:
        break;
    }
    return std::nullopt;
}

} // namespace

void dispatcher::update_holds(milliseconds now, milliseconds wall)
{
    if (now - holds_.updated_at < hold_interval_ms)
        return;
    holds_.updated_at = now;
    holds_.units.clear();
    holds_.rooms.clear();
    auto const before = std::exchange(holds_.held, {});
    std::map<std::string, hold_reason> reasons;
    for (auto const& [id, e] : jobs_)
    {
        if (is_final(e.progress.phase))
            continue;
        auto const held = hold_of(now, wall, e, holds_.units[e.service]);
        if (!held)
            continue;
        holds_.held.emplace(id, *held);
        reasons.emplace(id, held->reason);
    }
    for (auto const& change : holds_.tracker.update(now, reasons))
        if (change.reason)
            log_hold(now, wall, change);
        else
            log_decision("job.released", change.job,
                         release_text(wall, change, before.at(change.job)));
}

/// The units of a step without failures and losses have the same needs, so one
/// of them is looked at.
std::optional<detail::held_unit> dispatcher::hold_of(milliseconds now,
                                                     milliseconds wall,
                                                     job_entry const& e,
                                                     hold_counts& counts)
{
    std::optional<detail::held_unit> first;
    bool is_running = false;
    bool step_is_ready = false;
    unit_id step{-1, -1, 0};
    std::optional<hold_reason> of_step;
    for (auto const& [id, u] : e.progress.units)
    {
        if (u.phase == unit_phase::done)
            continue;
        if (id.occurrence != step.occurrence || id.step != step.step)
        {
            step = id;
            step_is_ready = is_ready(e, id, wall);
            of_step.reset();
        }
        if (!step_is_ready)
            continue;
        bool const is_alike = u.phase == unit_phase::waiting &&
                              u.failures == 0 && u.losses.empty();
        auto reason = is_alike ? of_step : std::nullopt;
        if (!reason)
            reason = hold_of(now, e, {e.job.id, id});
        if (is_alike)
            of_step = reason;
        is_running = is_running || !reason;
        if (!reason)
            continue;
        ++counts[*reason];
        if (!first)
            first = {id, *reason, due_of(e.job, id.occurrence)};
    }
    return is_running ? std::nullopt : first;
}

std::optional<hold_reason>
dispatcher::hold_of(milliseconds now, job_entry const& e, unit_ref const& ref)
{
    auto const at = active_.find(ref);
    if (at == active_.end())
        return hold_of_waiting(now, e, ref);
    auto const& members = at->second.members;
    std::optional<hold_reason> reason;
    for (auto const& m : members)
        if (!reason && m.phase != member_phase::released)
            reason =
                hold_of_member(m, find_worker(m.worker), role_.is_proven(now));
    if (!at->second.over)
        return reason;
    // A start of a run that is over may still be carried out.
    if (reason == hold_reason::start_unanswered)
        return hold_reason::late_start;
    return reason.value_or(hold_reason::stopping);
}

/// The order is that in which start_unit() looks for obstacles.
hold_reason dispatcher::hold_of_waiting(milliseconds now, job_entry const& e,
                                        unit_ref const& ref)
{
    if (reservations_.count(ref) != 0)
        return hold_reason::reservation;
    if (verdict_on(now, e, ref) == crash_verdict::wait)
        return hold_reason::unclear_losses;
    if (has_stale_run(ref))
        return hold_reason::earlier_run;
    auto const* q = queue_of(e);
    if (!q)
        return hold_reason::no_queue;
    if (!knows_cancellations(now))
        return hold_reason::jobs_not_current;
    if (!list_currency_.is_current(now))
        return hold_reason::list_not_current;
    if (!evacuations_.is_current(now))
        return hold_reason::evacuations_not_current;
    if (!role_.is_proven(now))
        return hold_reason::role_unproven;
    if (open_late_starts(now, e, ref))
        return hold_reason::late_start;
    auto need = need_of(now, e, ref);
    limit_wait(now, e, ref, need);
    if (need.isolated)
        return hold_reason::isolation;
    if (need.verification == verification_level::required)
        return hold_reason::verified_worker;
    return hold_of_placement(now, e, ref, *q, need);
}

/// The headroom and a rack hold a unit only if it has places on other terms.
hold_reason dispatcher::hold_of_placement(milliseconds now, job_entry const& e,
                                          unit_ref const& ref, queue const& q,
                                          unit_need need)
{
    auto& room = room_of(now, q.service);
    if (!may_fit(room, need))
        return hold_reason::no_room;
    need.spares_vulnerable = crowding_.spares_vulnerable(now, q.service);
    count_same_step(room.fit, ref, need);
    count_same_step(room.listed, ref, need);
    count_same_step(room.evacuated, ref, need);
    switch (fit_of(room, need))
    {
    case detail::unit_fit::on_unfit:
        return hold_reason::workers_unfit;
    case detail::unit_fit::on_evacuated:
        return hold_reason::evacuated;
    case detail::unit_fit::fragmented:
        return hold_reason::fragmented;
    case detail::unit_fit::none:
        return hold_reason::no_room;
    case detail::unit_fit::now:
        break;
    }
    if (!shares_.may_use(now, q.service, e.priority, need) &&
        !shares_.may_borrow(now, q.service, e.priority, need))
        return hold_reason::headroom;
    if (departures_.waits.is_waiting(ref))
        return hold_reason::departures;
    // A unit that has advised places and lacks no rack is placed in the next
    // pass.
    if (!need.may_wait || !lacks_rack(room, need))
        return q.advised ? hold_reason::advice : hold_reason::no_room;
    if (q.advised)
        exclude_unadvised(now, ref, q.service, need);
    return find_places(room.fit, need, rack_spread::multiple)
               ? hold_reason::rack
               : hold_reason::advice;
}

} // namespace jasminetrack::tasks
