#include <jasminetrack/tasks/dispatcher.hpp>

#include <algorithm>

namespace jasminetrack::tasks
{
namespace
{

/// A run that is stopped loses at least its start.
constexpr milliseconds least_lost_ms = 500;
/// Share of its worth that a job loses if it ends late.
constexpr double late_loss = 0.7;
/// Stopping work that is within its priority's least share costs as much more.
constexpr double share_weight = 3;
/// An end of a run shows for this long that its worker is sound.
constexpr milliseconds max_verified_age_ms = 10'000;
/// What a reason adds to the penalty in a worker; doubtful ones come last.
constexpr int quarantine_penalty = 1;
constexpr int crawling_penalty = 1;

} // namespace

void dispatcher::deduct_capacity(std::string const& service,
                                 std::vector<std::string> const& places,
                                 resources const& each)
{
    for (auto& [key, candidates] : candidates_)
    {
        if (key.first != service)
            continue;
        for (auto const& id : places)
        {
            auto const at = std::lower_bound(
                candidates.begin(), candidates.end(), id,
                [](worker_candidate const& r, std::string const& other)
                { return r.id < other; });
            if (at == candidates.end() || at->id != id)
                continue;
            at->free -= each;
            at->free_after_stops -= each;
        }
    }
    counts_[service].free -=
        each.accelerators * static_cast<std::int64_t>(places.size());
}

void dispatcher::count_same_step(std::vector<worker_candidate>& candidates,
                                 unit_ref const& ref,
                                 unit_need const& need) const
{
    if (need.most_per_worker == 0)
        return;
    for (auto& candidate : candidates)
    {
        candidate.same_step = 0;
        for (auto const& [run, o] : workers_.at(candidate.id).hosted_runs)
            if (o.unit.job == ref.job && o.unit.unit.step == ref.unit.step &&
                o.unit.unit.occurrence == ref.unit.occurrence)
                ++candidate.same_step;
    }
}

std::vector<worker_candidate>&
dispatcher::candidates_of(milliseconds now, std::string const& service,
                          std::int64_t priority)
{
    auto const key = std::pair(service, priority);
    auto const at = candidates_.find(key);
    if (at != candidates_.end())
        return at->second;
    auto& candidates = candidates_[key];
    for (auto const& [id, w] : workers_)
        if (w.info.service == service && may_start_on(now, w))
            candidates.push_back(candidate_of(now, w, priority));
    return candidates;
}

bool dispatcher::may_start_on(milliseconds now, worker_view const& w)
{
    return w.listed && !w.info.draining && !w.runs_unknown_task &&
           now >= w.starts_blocked_until && w.unresponsive_since < 0 &&
           w.answered_recently(now);
}

worker_candidate dispatcher::candidate_of(milliseconds now,
                                          worker_view const& w,
                                          std::int64_t priority) const
{
    worker_candidate candidate;
    candidate.id = w.info.id;
    candidate.rack = w.info.rack;
    candidate.labels = w.info.labels;
    candidate.free = w.free_capacity();
    candidate.capacity = w.info.capacity;
    candidate.free_after_stops = w.capacity_after_stops(now - max_stop_time());
    if (now < w.quarantined_until)
        candidate.penalty = quarantine_penalty + w.failures;
    auto const speed = w.pace.speed(now);
    if (speed == worker_speed::crawling)
        candidate.penalty += crawling_penalty;
    candidate.verified = w.last_success_at >= 0 &&
                         now - w.last_success_at <= max_verified_age_ms;
    candidate.slower = priority == 0 && speed == worker_speed::slower;
    if (priority != 0)
        return candidate;
    for (auto const& [run, o] : w.hosted_runs)
    {
        auto const at = active_.find(o.unit);
        auto const job = jobs_.find(o.unit.job);
        if (o.ending || at == active_.end() || at->second.over ||
            job == jobs_.end() || job->second.priority <= priority)
            continue;
        auto const& step = step_of(job->second, o.unit);
        if (step.lasting)
            continue;
        auto const lost = lost_work(now, at->second, step) +
                          delay_cost(now, job->second, o.unit);
        // What a stop would bring below the least share of its priority.
        bool const in_share = is_below_share(
            w.info.service, job->second.priority, o.held.accelerators);
        candidate.stoppable.push_back(
            {at->second.number, o.held, in_share ? share_weight * lost : lost});
    }
    return candidate;
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
double dispatcher::delay_cost(milliseconds now, job_entry const& e,
                              unit_ref const& ref) const
{
    auto const& step = step_of(e, ref);
    auto const age = now - e.known_at;
    auto const chain =
        e.critical_paths[static_cast<std::size_t>(ref.unit.step)];
    bool const late_already = age > e.objective_ms;
    if (late_already || age + chain <= e.objective_ms)
        return 0;
    return late_loss * core_seconds(step.need, step.estimate_ms) *
           static_cast<double>(step.gang ? step.count : 1);
}

} // namespace jasminetrack::tasks
