#include <jasminetrack/tasks/dispatcher.hpp>

#include <algorithm>

namespace jasminetrack::tasks
{
namespace
{

/// A running task hangs if its percentage does not rise for this time, or for
/// the time of `hang_percent` of its estimate if that is longer.
constexpr milliseconds hang_timeout_ms = 3'500;
constexpr std::int64_t hang_percent = 15;
constexpr milliseconds hang_quarantine_ms = 15'000;
constexpr std::int64_t hundred = 100;
/// Draining workers stay a little longer than the time they announce.
constexpr milliseconds drain_slack_ms = 500;

/// A run with checkpoints continues until the last moment. One without them is
/// moved as soon as it cannot complete in time, unless it has less work left
/// than it would lose.
bool should_leave(milliseconds now, detail::active_run const& a,
                  std::size_t index, milliseconds left, step_spec const& step)
{
    auto const& m = a.members[index];
    if (m.phase != detail::member_phase::running || step.lasting)
        return false;
    auto const ran = std::max<milliseconds>(1, now - a.first_sent);
    auto const remaining = m.percent > 0
                               ? ran * (hundred - m.percent) / m.percent
                               : step.estimate_ms;
    if (remaining <= left + drain_slack_ms)
        return false;
    return step.checkpoints ? left <= 0 : ran < remaining;
}

} // namespace

void dispatcher::check_hanging(milliseconds now)
{
    std::vector<unit_ref> hanging;
    for (auto& [ref, a] : active_)
    {
        if (a.over)
            continue;
        auto const& step = step_of(jobs_.at(ref.job), ref);
        if (step.lasting)
            continue;
        auto const timeout = std::max(
            hang_timeout_ms, step.estimate_ms * hang_percent / hundred);
        // The members of a gang end together, so one that has completed its
        // work waits for the others without progress.
        bool const all_complete =
            std::all_of(a.members.begin(), a.members.end(),
                        [](member const& m) { return m.percent >= hundred; });
        for (auto const& m : a.members)
            if (m.phase == member_phase::running &&
                (m.percent < hundred || all_complete) &&
                now - m.progress_at > timeout &&
                workers_.at(m.worker).answered_at >
                    m.progress_at + hang_timeout_ms)
            {
                hanging.push_back(ref);
                break;
            }
    }
    for (auto const& ref : hanging)
    {
        auto const at = active_.find(ref);
        if (at == active_.end())
            continue;
        for (auto const& m : at->second.members)
            if (auto const w = workers_.find(m.worker);
                w != workers_.end() && at->second.members.size() == 1)
                w->second.quarantined_until = now + hang_quarantine_ms;
        end_run(now, ref, "it made no progress within the hang timeout");
    }
}

/// Ignores gangs, whose members wait for each other, and tasks far from their
/// data, as their durations do not show the speed of the worker.
void dispatcher::update_pace(milliseconds now, worker_view& w,
                             unit_ref const& ref, member& m,
                             milliseconds clock_ms, std::int64_t percent)
{
    observe_speed(now, w, ref, m, clock_ms, percent);
    auto& e = jobs_.at(ref.job);
    auto const& step = step_of(e, ref);
    if (step.gang || step.lasting ||
        (!step.rack.empty() && step.rack != w.info.rack))
        return;
    m.progress.update(clock_ms, percent);
    auto const took = m.progress.take_projected_duration();
    if (!took)
        return;
    auto const before = speed_of(now, w);
    auto& durations = e.durations[ref.unit.step];
    if (auto const usual = durations.median())
        w.pace.add_sample(now, *took, *usual);
    durations.add(*took);
    if (speed_of(now, w) == before)
        return;
    changed_ = true;
    log_decision("worker.pace", ref.job,
                 "worker=" + w.info.id + " speed=" + to_text(speed_of(now, w)) +
                     " factor=" + std::to_string(w.pace.factor()) +
                     " task_ms=" + std::to_string(*took));
}

void dispatcher::check_draining(milliseconds now)
{
    if (limits_.expect_departures)
    {
        plan_drains(now);
        return;
    }
    std::vector<unit_ref> to_move;
    for (auto const& [id, w] : workers_)
    {
        if (!w.listed || w.leaves_at < 0)
            continue;
        auto const left = w.leaves_at - now - limits_.max_stop_ms;
        for (auto const& [run, o] : w.hosted_runs)
        {
            auto const at = active_.find(o.unit);
            if (o.ending || at == active_.end() || at->second.over)
                continue;
            auto const index = member_index(o.unit, at->second, run);
            if (index && should_leave(now, at->second, *index, left,
                                      step_of(jobs_.at(o.unit.job), o.unit)))
                to_move.push_back(o.unit);
        }
    }
    for (auto const& ref : to_move)
        if (active_.count(ref) != 0)
            end_run(now, ref,
                    "it cannot complete before its worker is drained");
}

} // namespace jasminetrack::tasks
