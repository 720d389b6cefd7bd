/// \file
/// Urgent work of teams within their guarantees: what it may stop of other
/// teams' work.

#include <jasminetrack/tasks/dispatcher.hpp>

#include <algorithm>

namespace jasminetrack::tasks
{
namespace
{

/// Weight of the loss if a stop brings a priority below its least share.
constexpr double least_share_loss_factor = 3;
/// Weight of the loss of a run within the headroom for urgent work. It is
/// stopped before any other run of its size that has run for at least a
/// hundredth of its time.
constexpr double lent_loss_factor = 0.01;
/// Part of its work that a job loses in value if it ends late.
constexpr double late_loss_factor = 0.7;
/// How long a lasting task that is stopped is expected to wait for room.
constexpr milliseconds lasting_outage_ms = 10'000;

/// \returns the core seconds that the job loses in value if stopping this run
/// makes it late.
double delay_cost(milliseconds now, detail::job_entry const& e,
                  unit_ref const& ref)
{
    auto const& step = step_of(e, ref);
    auto const age = now - e.known_at;
    auto const chain =
        e.critical_paths[static_cast<std::size_t>(ref.unit.step)];
    bool const late_already = age > e.objective_ms;
    if (late_already || age + chain <= e.objective_ms)
        return 0;
    return late_loss_factor * core_seconds(step.need, step.estimate_ms) *
           static_cast<double>(step.gang ? step.count : 1);
}

bool is_at_work(detail::active_run const& a)
{
    constexpr std::int64_t at_work_percent = 100;
    return !a.over && std::all_of(a.members.begin(), a.members.end(),
                                  [](detail::member const& m)
                                  { return m.percent >= at_work_percent; });
}

} // namespace

void dispatcher::count_urgent_use()
{
    urgent_use_ = {};
    for (auto const& [id, e] : jobs_)
        if (e.priority == 0 && !is_final(e.progress.phase))
            urgent_use_.wanted[e.job.team] += largest_need(e.job.spec);
    for (auto const& [ref, a] : active_)
    {
        auto const& e = jobs_.at(ref.job);
        if (e.priority == 0 && !a.over)
            urgent_use_.held[e.job.team] +=
                detail::accelerators_of(a, step_of(e, ref));
    }
    for (auto const& [ref, r] : reservations_)
    {
        auto const& e = jobs_.at(ref.job);
        urgent_use_.held[e.job.team] +=
            std::ssize(r.places) * step_of(e, ref).need.accelerators;
    }
}

bool dispatcher::is_guaranteed(job_entry const& e, step_spec const& step) const
{
    auto const tasks = step.gang ? step.count : 1;
    return e.priority == 0 &&
           tasks::is_guaranteed(config_, urgent_use_, e.job.team,
                                tasks * step.need.accelerators);
}

/// Tasks of which only some may be away are counted by their index, so that any
/// choice among those that may be stopped leaves enough at work.
bool dispatcher::may_be_missed(job_entry const& e, unit_ref const& ref) const
{
    auto const& step = step_of(e, ref);
    if (!step.lasting || step.may_miss == 0)
        return true;
    std::int64_t missed = 0;
    for (std::int64_t i = 0; i < (step.gang ? 1 : step.count); ++i)
    {
        auto const at =
            active_.find({ref.job, {ref.unit.occurrence, ref.unit.step, i}});
        bool const is_away = at == active_.end() || !is_at_work(at->second);
        missed += is_away || i < ref.unit.index ? 1 : 0;
    }
    return missed < step.may_miss;
}

bool dispatcher::may_stop(candidate_key const& key, job_entry const& e,
                          unit_ref const& ref) const
{
    if (key.claimant.empty())
        return e.priority > key.priority && !step_of(e, ref).lasting;
    bool const is_of_others = e.priority > 0 || e.job.team != key.claimant;
    return is_of_others && may_be_missed(e, ref);
}

stoppable_run dispatcher::stoppable_of(milliseconds now, worker_view const& w,
                                       hosted_run const& o) const
{
    auto const& a = active_.at(o.unit);
    auto const& e = jobs_.at(o.unit.job);
    auto const& step = step_of(e, o.unit);
    auto lost = step.lasting
                    ? core_seconds(step.need, lasting_outage_ms) *
                          static_cast<double>(a.members.size())
                    : lost_work(now, a, step) + delay_cost(now, e, o.unit);
    if (o.lent)
        lost *= lent_loss_factor;
    if (shares_.is_below_share(w.info.service, e.priority, o.held.accelerators))
        lost *= least_share_loss_factor;
    if (e.priority > 0)
        return {a.number, o.held, lost};
    // Each earlier run counts, so that work that was stopped often ends.
    return {a.number, o.held, lost * static_cast<double>(a.run), e.job.team,
            detail::accelerators_of(a, step)};
}

void dispatcher::list_stoppable(milliseconds now, worker_view const& w,
                                candidate_key const& key,
                                worker_candidate& candidate) const
{
    candidate.stoppable.clear();
    if (key.priority != 0)
        return;
    for (auto const& [run, o] : w.hosted_runs)
    {
        auto const at = active_.find(o.unit);
        auto const job = jobs_.find(o.unit.job);
        if (o.ending || at == active_.end() || at->second.over ||
            job == jobs_.end() || !may_stop(key, job->second, o.unit))
            continue;
        candidate.stoppable.push_back(stoppable_of(now, w, o));
    }
}

std::optional<reclaim_plan> dispatcher::claim_guarantee(milliseconds now,
                                                        job_entry const& e,
                                                        unit_ref const& ref,
                                                        unit_need const& need,
                                                        reclaim_terms terms)
{
    if (!terms.guaranteed || need.isolated)
        return std::nullopt;
    candidate_key key{e.service, e.priority, ""};
    auto anywhere = need;
    anywhere.same_rack = false;
    // A unit that waits for a rack by choice needs nothing of other teams.
    if (need.same_rack &&
        choose_places(candidates_of(now, key), anywhere, terms))
        return std::nullopt;
    key.claimant = e.job.team;
    auto& candidates = candidates_of(now, key);
    if (need.vulnerable)
        mark_starting_candidates(key);
    count_same_step(candidates, ref, need);
    terms.excess = excess_of(config_, urgent_use_.held);
    return choose_places(candidates, need, terms);
}

} // namespace jasminetrack::tasks
