#include <jasminetrack/tasks/dispatcher.hpp>

#include <algorithm>

namespace jasminetrack::tasks
{
namespace
{

/// Room that was stopped for is planned anew after stops took this long.
constexpr milliseconds reservation_slack_ms = 300;
/// Of the time to reclaim, for the record and the starts.
constexpr milliseconds reclaim_start_ms = 500;
/// Estimates that a gang of lower priority waits for its rack.
constexpr milliseconds lower_max_rack_wait = 4;

} // namespace

void dispatcher::reclaim(milliseconds now, unit_ref const& ref,
                         reclaim_plan const& plan, resources const& each)
{
    log_decision("unit.reclaim", ref.job,
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
    candidates_.clear();
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
    terms.far_factor = static_cast<double>(limits_.far_factor);
    terms.max_rack_wait_ms = max_rack_wait(terms, step.estimate_ms);
    return terms;
}

/// A gang that waits no longer than this for its rack ends no later than if it
/// had been spread at once. Guaranteed work keeps the time for two rounds of
/// stops; other work has longer objectives.
milliseconds dispatcher::max_rack_wait(reclaim_terms const& terms,
                                       milliseconds estimate) const
{
    if (!terms.may_stop)
        return lower_max_rack_wait * estimate;
    auto const no_later = (limits_.far_factor - 1) * estimate;
    if (!terms.guaranteed)
        return no_later;
    auto const spare =
        limits_.max_reclaim_ms - 2 * max_stop_time() - reclaim_start_ms;
    return std::clamp<milliseconds>(no_later, 0,
                                    std::max<milliseconds>(0, spare));
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
                           return w.answered_recently(now) &&
                                  fits(entry.second,
                                       w.free_capacity() + entry.second);
                       });
}

/// A stop that takes longer was lost, or its worker is out of reach.
milliseconds dispatcher::max_stop_time() const noexcept
{
    return limits_.max_stop_ms + reservation_slack_ms;
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
        bool const sound = std::all_of(r.places.begin(), r.places.end(),
                                       [&](std::string const& id)
                                       {
                                           auto const at = workers_.find(id);
                                           return at != workers_.end() &&
                                                  at->second.listed &&
                                                  !at->second.info.draining;
                                       });
        bool const overdue = now - r.since > max_stop_time();
        if (sound && fits_now(now, e, ref, r.places))
        {
            drop_reservation(ref);
            place(now, e, ref, r.places);
        }
        else if (!sound || overdue)
        {
            log_decision("unit.reclaim_again", ref.job,
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
