#include <jasminetrack/tasks/dispatcher.hpp>

#include <utility>

namespace jasminetrack::tasks
{
namespace
{

constexpr milliseconds hold_interval_ms = 500;

} // namespace

void dispatcher::update_holds(milliseconds now, milliseconds wall)
{
    if (now - holds_at_ < hold_interval_ms)
        return;
    holds_at_ = now;
    held_units_.clear();
    rooms_.clear();
    auto const before = std::exchange(held_, {});
    std::map<std::string, hold_reason> reasons;
    for (auto const& [id, e] : jobs_)
    {
        if (is_final(e.progress.phase))
            continue;
        auto const held = hold_of(now, wall, e, held_units_[e.service]);
        if (!held)
            continue;
        held_.emplace(id, *held);
        reasons.emplace(id, held->reason);
    }
    for (auto const& change : holds_.update(now, reasons))
        if (change.reason)
            log_hold(now, wall, change);
        else
            log_release(wall, change, before.at(change.job).due_ms);
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
            reason = hold_of(now, m);
    if (!at->second.over)
        return reason;
    // A start of a run that is over may still be carried out.
    if (reason == hold_reason::start_unanswered)
        return hold_reason::late_start;
    return reason.value_or(hold_reason::stopping);
}

std::optional<hold_reason> dispatcher::hold_of(milliseconds now,
                                               member const& m) const
{
    auto const at = workers_.find(m.worker);
    bool const is_reached = at != workers_.end() && at->second.token_known();
    bool const is_silent =
        at != workers_.end() && at->second.unresponsive_since >= 0;
    switch (m.phase)
    {
    case member_phase::recorded:
        return hold_reason::placement_not_stored;
    case member_phase::awaiting_late_start:
        return hold_reason::late_start;
    case member_phase::adopted:
        if (is_silent)
            return is_reached ? hold_reason::worker_silent
                              : hold_reason::worker_unreached;
        return hold_reason::start_unanswered;
    case member_phase::starting:
    case member_phase::unconfirmed:
        if (is_silent)
            return hold_reason::worker_silent;
        return role_.is_proven(now) ? hold_reason::start_unanswered
                                    : hold_reason::role_unproven;
    case member_phase::running:
        return is_silent ? std::optional(hold_reason::worker_silent)
                         : std::nullopt;
    case member_phase::released:
        break;
    }
    return std::nullopt;
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
    need.spares_vulnerable = spares_vulnerable(now, q.service);
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
    if (!may_use(now, e, q.service, need) &&
        !may_borrow(now, e, q.service, need))
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
