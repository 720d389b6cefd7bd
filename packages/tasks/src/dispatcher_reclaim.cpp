#include <jasminetrack/tasks/dispatcher.hpp>

#include <algorithm>
#include <limits>

namespace jasminetrack::tasks
{
namespace
{

/// Added to the longest duration of a stop before a reservation is replanned.
constexpr milliseconds reservation_slack_ms = 300;
/// Part of the reclaim time that is needed to store the placement and to start.
constexpr milliseconds reclaim_start_ms = 500;
/// Longest wait of a lower-priority gang for one rack, in estimated durations.
constexpr milliseconds lower_rack_wait_estimates = 4;
/// A new dispatcher knows by then which of the workers answer. Before, it does
/// not know which racks have room.
constexpr milliseconds max_first_contact_ms = 1'000;

/// \returns whether the service has listed workers that were not reached yet.
bool has_unreached_workers(std::map<std::string, worker_view> const& workers,
                           std::string const& service)
{
    return std::any_of(workers.begin(), workers.end(),
                       [&](auto const& entry)
                       {
                           auto const& w = entry.second;
                           return w.listed && !w.token_known() &&
                                  w.info.service == service;
                       });
}

/// \param max_stop_ms  after which a stop is assumed to be lost
/// \returns the longest wait of a gang for one rack.
///
/// The wait is at most the time that spreading would add, so that a gang that
/// waits ends no later than one that is spread immediately. Guaranteed work
/// also keeps time for two rounds of stops. Lower priorities may wait longer,
/// as their objectives are longer.
milliseconds max_rack_wait(reclaim_terms const& terms, unit_need const& need,
                           dispatch_limits const& limits,
                           milliseconds max_stop_ms)
{
    if (!need.may_wait)
        return 0;
    if (!terms.may_stop)
        return lower_rack_wait_estimates * need.estimate_ms;
    auto const spread_cost = (limits.far_factor - 1) * need.estimate_ms;
    if (!terms.guaranteed)
        return spread_cost;
    auto const spare =
        limits.max_reclaim_ms - 2 * max_stop_ms - reclaim_start_ms;
    return std::clamp<milliseconds>(spread_cost, 0,
                                    std::max<milliseconds>(0, spare));
}

/// \returns whether the stops have freed the places, and their workers answer.
bool fits_now(milliseconds now,
              std::map<std::string, worker_view> const& workers,
              std::vector<std::string> const& places, resources const& need)
{
    std::map<std::string, resources> wanted;
    for (auto const& id : places)
        wanted[id] += need;
    return std::all_of(wanted.begin(), wanted.end(),
                       [&](auto const& entry)
                       {
                           auto const& w = workers.at(entry.first);
                           return w.answered_recently(now) &&
                                  fits(entry.second,
                                       w.free_capacity() + entry.second);
                       });
}

} // namespace

void dispatcher::reclaim(milliseconds now, unit_ref const& ref,
                         reclaim_plan const& plan, resources const& each)
{
    reservations_[ref] = {plan.places, now};
    for (auto const& id : plan.places)
        workers_.at(id).reserved += each;
    std::vector<unit_ref> victims;
    for (auto const& [other, a] : active_)
        if (plan.victims.count(a.number) != 0)
            victims.push_back(other);
    std::set<std::string> changed(plan.places.begin(), plan.places.end());
    std::int64_t urgent = 0;
    for (auto const& other : victims)
    {
        auto const& e = jobs_.at(other.job);
        if (e.priority == 0)
        {
            ++urgent;
            urgent_use_.held[e.job.team] -=
                detail::accelerators_of(active_.at(other), step_of(e, other));
        }
        for (auto const& m : active_.at(other).members)
            changed.insert(m.worker);
        end_run(now, other, "stopped for job " + ref.job);
    }
    log_decision("unit.reclaim", ref.job,
                 "victims=" + std::to_string(plan.victims.size()) +
                     " urgent=" + std::to_string(urgent) +
                     " lost_core_s=" + std::to_string(plan.lost_work));
    update_candidates(now, changed);
}

reclaim_terms dispatcher::terms_of(milliseconds now, job_entry const& e,
                                   unit_ref const& ref,
                                   unit_need const& need) const
{
    auto const& step = step_of(e, ref);
    reclaim_terms terms;
    terms.may_stop = e.priority == 0;
    terms.guaranteed = is_guaranteed(e, step);
    terms.own_work = core_seconds(step.need, step.estimate_ms) *
                     static_cast<double>(step.gang ? step.count : 1);
    terms.far_factor = static_cast<double>(limits_.far_factor);
    bool const awaits_first_contact =
        now - first_pass_at_ < max_first_contact_ms &&
        has_unreached_workers(workers_, e.service);
    terms.max_rack_wait_ms =
        awaits_first_contact
            ? std::numeric_limits<milliseconds>::max()
            : max_rack_wait(terms, need, limits_, max_stop_time());
    return terms;
}

/// \returns the time after which a stop is assumed to be lost, or its worker to
/// be unreachable.
milliseconds dispatcher::max_stop_time() const noexcept
{
    return limits_.max_stop_ms + reservation_slack_ms;
}

bool dispatcher::is_reservable(unit_ref const& ref,
                               std::string const& worker) const
{
    auto const at = workers_.find(worker);
    return at != workers_.end() && at->second.takes_new_work() &&
           !at->second.runs_unknown_task && !at->second.may_get_late_orders() &&
           is_eligible(ref, worker);
}

void dispatcher::process_reservations(milliseconds now)
{
    std::vector<unit_ref> refs;
    for (auto const& [ref, r] : reservations_)
        refs.push_back(ref);
    for (auto const& ref : refs)
    {
        auto const r = reservations_.at(ref);
        auto& e = *find_job(ref.job);
        bool const usable = std::all_of(r.places.begin(), r.places.end(),
                                        [&](std::string const& id)
                                        { return is_reservable(ref, id); });
        bool const overdue = now - r.since > max_stop_time();
        if (usable &&
            fits_now(now, workers_, r.places, held_by(step_of(e, ref))))
        {
            drop_reservation(ref);
            place(now, e, ref, r.places, false);
        }
        else if (!usable || overdue)
        {
            log_decision("unit.reclaim_again", ref.job,
                         usable
                             ? "why=\"the stops did not complete in time\""
                             : "why=\"a reserved worker became unavailable\"");
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
