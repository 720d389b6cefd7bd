#include <jasminetrack/tasks/dispatcher.hpp>

#include <algorithm>

namespace jasminetrack::tasks
{
namespace
{

/// A new dispatcher knows by then which of the workers answer.
constexpr milliseconds max_first_contact_ms = 1'000;

/// Which racks there are changes rarely.
constexpr milliseconds max_listed_age_ms = 500;

/// A run that is being started counts as running for this time.
constexpr milliseconds max_starting_ms = 1'000;

/// \returns whether the run goes on at workers that answer, or is about to.
bool is_under_way(milliseconds now, detail::active_run const& a,
                  std::map<std::string, worker_view> const& workers)
{
    bool const is_new = now - a.placed_at <= max_starting_ms;
    bool has_member = false;
    for (auto const& m : a.members)
    {
        if (m.phase == detail::member_phase::released)
            continue;
        auto const w = workers.find(m.worker);
        bool const answers =
            w != workers.end() && w->second.unresponsive_since < 0;
        if (!answers || (m.phase != detail::member_phase::running && !is_new))
            return false;
        has_member = true;
    }
    return has_member && !a.over;
}

/// \returns whether a run of the job that ends by itself is under way.
bool has_running_task(milliseconds now, accepted_job const& job,
                      std::map<unit_ref, detail::active_run> const& active,
                      std::map<std::string, worker_view> const& workers)
{
    auto at = active.lower_bound({job.id, {}});
    for (; at != active.end() && at->first.job == job.id; ++at)
    {
        auto const step = static_cast<std::size_t>(at->first.unit.step);
        if (!job.spec.steps[step].lasting &&
            is_under_way(now, at->second, workers))
            return true;
    }
    return false;
}

/// \returns the worker as if nothing ran there.
worker_candidate empty_candidate(worker_info const& info)
{
    worker_candidate c;
    c.id = info.id;
    c.rack = info.rack;
    c.labels = info.labels;
    c.capacity = info.capacity;
    return c;
}

} // namespace

/// A reservation, silent workers or a run that a worker lists come first.
bool dispatcher::awaits_earlier_run(milliseconds now, job_entry const& e,
                                    unit_ref const& ref)
{
    return reservations_.count(ref) != 0 ||
           verdict_on(now, e, ref) == crash_verdict::wait || has_stale_run(ref);
}

bool dispatcher::is_kept_out(milliseconds now, job_entry const& e,
                             std::string const& service, unit_need& need)
{
    if (may_use(now, e, service, need))
        return false;
    need.lent = may_borrow(now, e, service, need);
    if (need.lent)
        return false;
    bool const is_free = counts_[service].free >= need.accelerators();
    count_waiting_step(e, is_free ? &priority_utilization::kept_out
                                  : &priority_utilization::no_room);
    return true;
}

void dispatcher::note_idleness(milliseconds now, waiting_units const& w,
                               unit_need const& need)
{
    auto& e = *w.entry;
    e.idle_times[{w.occurrence, w.step}].record(
        now, idleness_for(counts_[e.service].load, need));
}

void dispatcher::limit_wait(milliseconds now, job_entry const& e,
                            unit_ref const& ref, unit_need& need)
{
    // An earlier dispatcher may have let the unit wait already.
    bool const is_older =
        need.waited_ms > now - first_pass_at_ + max_idle_wait_ms;
    bool const is_idle =
        idleness_for(counts_[e.service].load, need) != idleness::none;
    auto const times = e.idle_times.find({ref.unit.occurrence, ref.unit.step});
    bool const may_wait =
        times == e.idle_times.end() || times->second.may_wait(now);
    // Only a job that stands still may not wait in an idle service; the other
    // tasks of one that runs leave the headroom to urgent work.
    bool const is_limited = need.lasting || !limits_.wait_beside_running ||
                            !has_running_task(now, e.job, active_, workers_);
    need.may_wait =
        !is_idle || !is_limited || (may_wait && !is_older && !need.lasting);
}

bool dispatcher::wants_rack(milliseconds now, std::string const& service,
                            unit_need const& need)
{
    if (!need.same_rack || need.count == 1)
        return false;
    if (now - listed_at_ >= max_listed_age_ms)
    {
        listed_at_ = now;
        listed_.clear();
    }
    auto const [at, is_new] = listed_.try_emplace(service);
    if (is_new)
        for (auto const& [id, w] : workers_)
            if (w.takes_new_work() && w.info.service == service)
                at->second.push_back(empty_candidate(w.info));
    return fits_one_rack(at->second, need);
}

bool dispatcher::awaits_first_contact(milliseconds now,
                                      std::string const& service) const
{
    return now - first_pass_at_ < max_first_contact_ms &&
           std::any_of(workers_.begin(), workers_.end(),
                       [&](auto const& entry)
                       {
                           auto const& w = entry.second;
                           return w.listed && !w.token_known() &&
                                  w.info.service == service;
                       });
}

std::optional<reclaim_plan>
dispatcher::choose_places(std::vector<worker_candidate> const& candidates,
                          unit_need need, reclaim_terms const& terms)
{
    auto choice = choose_plan(candidates, need, terms);
    if (choice || need.may_wait || !need.avoids_failed_on)
        return choice;
    need.avoids_failed_on = false;
    return choose_plan(candidates, need, terms);
}

} // namespace jasminetrack::tasks
