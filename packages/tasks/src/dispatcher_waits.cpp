#include <jasminetrack/tasks/dispatcher.hpp>

#include <algorithm>

namespace jasminetrack::tasks
{
namespace
{

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
    if (shares_.may_use(now, service, e.priority, need))
        return false;
    need.lent = shares_.may_borrow(now, service, e.priority, need);
    if (need.lent)
        return false;
    bool const is_free = shares_.count_of(service).free >= need.accelerators();
    utilization_.count_step(e, is_free ? &priority_utilization::kept_out
                                       : &priority_utilization::no_room);
    return true;
}

void dispatcher::note_idleness(milliseconds now, waiting_units const& w,
                               unit_need const& need)
{
    auto& e = *w.entry;
    e.idle_times[{w.occurrence, w.step}].record(
        now, idleness_for(shares_.count_of(e.service).load, need));
}

void dispatcher::limit_wait(milliseconds now, job_entry const& e,
                            unit_ref const& ref, unit_need& need)
{
    // An earlier dispatcher may have let the unit wait already.
    bool const is_older =
        need.waited_ms > now - first_pass_at_ + max_idle_wait_ms;
    bool const is_idle =
        idleness_for(shares_.count_of(e.service).load, need) != idleness::none;
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

} // namespace jasminetrack::tasks
