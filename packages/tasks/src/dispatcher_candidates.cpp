#include <jasminetrack/tasks/dispatcher.hpp>

#include <algorithm>

namespace jasminetrack::tasks
{
namespace
{

/// How long a completed run counts as evidence that its worker is healthy.
constexpr milliseconds max_verified_age_ms = 10'000;
/// Added to the penalty of a worker; workers with a penalty come last.
constexpr int quarantine_penalty = 1;
constexpr int crawling_penalty = 1;

} // namespace

void dispatcher::mark_starting_candidates(candidate_key const& key)
{
    auto& list = candidates_.list_of(key);
    if (list.starting_known)
        return;
    for (auto& candidate : list.workers)
        candidate.starting = is_starting_runs(workers_.at(candidate.id));
    list.starting_known = true;
}

void dispatcher::count_same_step(std::vector<worker_candidate>& candidates,
                                 unit_ref const& ref,
                                 unit_need const& need) const
{
    if (need.most_per_worker == 0)
        return;
    for (auto& candidate : candidates)
        candidate.same_step = count_same_step(ref, candidate.id);
}

/// Tasks that are being stopped count, and so do those that wait for stops
/// there and those that a late start may bring.
std::int64_t dispatcher::count_same_step(unit_ref const& ref,
                                         std::string const& worker) const
{
    auto const is_same = [&](unit_ref const& other)
    {
        return other.job == ref.job && other.unit.step == ref.unit.step &&
               other.unit.occurrence == ref.unit.occurrence;
    };
    auto const& w = workers_.at(worker);
    std::int64_t count = 0;
    for (auto const& [run, o] : w.hosted_runs)
        count += is_same(o.unit) ? 1 : 0;
    for (auto const& [run, late] : w.late_starts)
        count += is_same(late.unit) && w.hosted_runs.count(run) == 0 ? 1 : 0;
    auto at = reservations_.lower_bound(
        {ref.job, {ref.unit.occurrence, ref.unit.step, 0}});
    for (; at != reservations_.end() && is_same(at->first); ++at)
        count += std::count(at->second.places.begin(), at->second.places.end(),
                            worker);
    return count;
}

/// An entry may have changed, or a run been found, since the worker was chosen.
bool dispatcher::is_eligible(unit_ref const& ref,
                             std::string const& worker) const
{
    auto const& e = jobs_.at(ref.job);
    auto const& step = step_of(e, ref);
    auto const& info = workers_.at(worker).info;
    bool const has_label =
        step.label.empty() || std::find(info.labels.begin(), info.labels.end(),
                                        step.label) != info.labels.end();
    bool const is_within_limit =
        step.most_per_worker == 0 ||
        count_same_step(ref, worker) <= step.most_per_worker;
    return info.service == e.service && has_label && is_within_limit;
}

std::vector<worker_candidate>&
dispatcher::candidates_of(milliseconds now, candidate_key const& key)
{
    auto& list = candidates_.list_of(key);
    if (list.current)
        return list.workers;
    list.current = true;
    list.starting_known = false;
    std::size_t count = 0;
    for (auto const& [id, w] : workers_)
    {
        if (w.info.service != key.service || unfit_reason_of(now, w))
            continue;
        if (count == list.workers.size())
            list.workers.emplace_back();
        update_candidate(now, w, key, list.workers[count++]);
    }
    list.workers.resize(count);
    return list.workers;
}

void dispatcher::update_candidates(milliseconds now,
                                   std::set<std::string> const& workers)
{
    for (auto& [key, list] : candidates_.all())
    {
        if (!list.current)
            continue;
        list.starting_known = false;
        for (auto const& id : workers)
            if (auto* const candidate =
                    detail::find_candidate(list.workers, id))
                update_candidate(now, workers_.at(id), key, *candidate);
    }
}

std::optional<unfit_reason>
dispatcher::unfit_reason_of(milliseconds now, worker_view const& w) const
{
    if (!has_current_views(now))
        return unfit_reason::views_not_current;
    if (auto const refusal = w.refusal(now))
        return refusal;
    if (w.runs_unknown_task)
        return unfit_reason::unknown_task;
    if (cleared_workers_.count(w.info.id) != 0)
        return unfit_reason::cleared;
    if (w.hosts_isolated_run())
        return unfit_reason::isolating;
    return std::nullopt;
}

void dispatcher::update_candidate(milliseconds now, worker_view const& w,
                                  candidate_key const& key,
                                  worker_candidate& candidate) const
{
    candidate.id = w.info.id;
    candidate.rack = w.info.rack;
    candidate.labels = w.info.labels;
    candidate.free = w.free_capacity();
    candidate.capacity = w.info.capacity;
    candidate.free_after_stops = w.capacity_after_stops(now - max_stop_time());
    candidate.penalty = 0;
    if (now < w.quarantined_until)
        candidate.penalty = quarantine_penalty + w.failures;
    auto const speed = speed_of(now, w);
    if (speed == worker_speed::crawling)
        candidate.penalty += crawling_penalty;
    candidate.verified = w.last_success_at >= 0 &&
                         now - w.last_success_at <= max_verified_age_ms;
    candidate.slower =
        key.priority == 0 && (speed == worker_speed::slower || w.is_cold(now));
    candidate.slow_machine =
        limits_.learn_speeds && speed == worker_speed::slower;
    candidate.departure_rank =
        departures_.history.rank(now, now + wall_offset_ms_, w.info);
    candidate.same_step = 0;
    candidate.vulnerable = w.hosts_vulnerable_run();
    candidate.suspects = 0;
    candidate.max_suspects = 0;
    list_stoppable(now, w, key, candidate);
}

} // namespace jasminetrack::tasks
