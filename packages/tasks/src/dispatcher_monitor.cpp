#include <jasminetrack/tasks/dispatcher.hpp>

#include <algorithm>

namespace jasminetrack::tasks
{
namespace
{

/// A running task whose percentage stands still for this long hangs; longer
/// for tasks whose percent points take longer.
constexpr milliseconds hang_ms = 3'500;
constexpr milliseconds hang_rest_ms = 15'000;
constexpr std::int64_t hang_points = 15;
constexpr std::int64_t hundred = 100;
/// Workers stay a little longer than they promise.
constexpr milliseconds leave_slack_ms = 500;

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
        auto const patience =
            std::max(hang_ms, step.estimate_ms * hang_points / hundred);
        // Members of a gang end together: one that has done its part waits.
        bool const all_complete =
            std::all_of(a.members.begin(), a.members.end(),
                        [](member const& m) { return m.percent >= hundred; });
        for (auto const& m : a.members)
            if (m.phase == member_phase::running &&
                (m.percent < hundred || all_complete) &&
                now - m.progress_at > patience &&
                workers_.at(m.worker).answered_at > m.progress_at + hang_ms)
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
                w->second.quarantined_until = now + hang_rest_ms;
        end_run(now, ref, "its progress stands still");
    }
}

/// Members of a gang wait for each other, and tasks far from their data tell
/// nothing of their worker.
void dispatcher::update_pace(milliseconds now, worker_view& w,
                             unit_ref const& ref, member& m,
                             milliseconds clock_ms, std::int64_t percent)
{
    auto& e = jobs_.at(ref.job);
    auto const& step = step_of(e, ref);
    if (step.gang || step.lasting ||
        (!step.rack.empty() && step.rack != w.info.rack))
        return;
    m.progress.update(clock_ms, percent);
    auto const took = m.progress.take_projected_duration();
    if (!took)
        return;
    auto const before = w.pace.speed(now);
    auto& durations = e.durations[ref.unit.step];
    if (auto const usual = durations.median())
        w.pace.add_sample(now, *took, *usual);
    durations.add(*took);
    if (w.pace.speed(now) == before)
        return;
    changed_ = true;
    log_decision("worker.pace", ref.job,
                 "worker=" + w.info.id +
                     " speed=" + to_text(w.pace.speed(now)) +
                     " factor=" + std::to_string(w.pace.factor()) +
                     " task_ms=" + std::to_string(*took));
}

void dispatcher::check_draining(milliseconds now)
{
    std::vector<unit_ref> leaving;
    for (auto const& [id, w] : workers_)
    {
        if (!w.info.draining || !w.listed || w.info.remaining_ms <= 0)
            continue;
        auto const left =
            w.draining_since + w.info.remaining_ms - now - limits_.max_stop_ms;
        for (auto const& [run, o] : w.hosted_runs)
        {
            auto const at = active_.find(o.unit);
            if (o.ending || at == active_.end() || at->second.over)
                continue;
            auto const index = member_index(o.unit, at->second, run);
            if (index && should_leave(now, at->second, *index, left,
                                      step_of(jobs_.at(o.unit.job), o.unit)))
                leaving.push_back(o.unit);
        }
    }
    for (auto const& ref : leaving)
        if (active_.count(ref) != 0)
            end_run(now, ref, "a worker leaves before it can end");
}

/// A run that saves its progress leaves at the last moment; one that does not
/// leaves as soon as it is clear that it cannot end.
bool dispatcher::should_leave(milliseconds now, active_run const& a,
                              std::size_t index, milliseconds left,
                              step_spec const& step)
{
    auto const& m = a.members[index];
    if (m.phase != member_phase::running || step.lasting)
        return false;
    auto const ran = std::max<milliseconds>(1, now - a.first_sent);
    auto const needs = m.percent > 0 ? ran * (hundred - m.percent) / m.percent
                                     : step.estimate_ms;
    if (needs <= left + leave_slack_ms)
        return false;
    return step.checkpoints ? left <= 0 : ran < needs;
}

} // namespace jasminetrack::tasks
