#include <jasminetrack/tasks/dispatcher.hpp>

namespace jasminetrack::tasks
{
namespace
{

/// Workers list at most this many ends in one answer.
constexpr std::size_t max_ends_per_reply = 500;
constexpr std::int64_t complete_percent = 100;

/// \param same_step  tasks of the step that the worker may have
std::string stale_run_text(worker_view const& w, task_run const& run,
                           unit const& newest, std::int64_t same_step,
                           std::int64_t limit)
{
    return "worker=" + w.info.id + " step=" + std::to_string(run.task.step) +
           " index=" + std::to_string(run.task.index) +
           " run=" + std::to_string(run.run) +
           " current_run=" + std::to_string(newest.run) +
           " incarnation=" + std::to_string(w.info.incarnation) +
           " same_step=" + std::to_string(same_step) +
           " limit=" + std::to_string(limit);
}

} // namespace

void dispatcher::process_ended(milliseconds now, worker_view& w,
                               renew_reply const& r)
{
    bool any = false;
    for (auto const& end : r.ended)
    {
        if (end.number <= w.processed_end)
            continue;
        any = true;
        w.processed_end = end.number;
        auto const ref = ref_of(end.run);
        log_decision("run.ended", end.run.task.job,
                     "worker=" + w.info.id +
                         " step=" + std::to_string(end.run.task.step) +
                         " index=" + std::to_string(end.run.task.index) +
                         " run=" + std::to_string(end.run.run) +
                         " how=" + to_text(end.how) +
                         " number=" + std::to_string(end.number) +
                         (ref ? moved_text(departures_.moves_of(*ref)) : ""));
        w.remove(end.run);
        changed_ = true;
        if (!ref)
            continue;
        auto const at = active_.find(*ref);
        auto const index = at == active_.end()
                               ? std::nullopt
                               : member_index(*ref, at->second, end.run);
        if (!index)
        {
            if (end.how == run_end::done)
                complete_from_earlier_run(now, *ref);
            continue;
        }
        if (!end.checkpoint.empty())
            find_unit(*ref)->checkpoint = end.checkpoint;
        record_outcome(now, w, end.run.task.job, end.how);
        if (end.how == run_end::done)
            update_pace(now, w, *ref, at->second.members[*index], r.clock_ms,
                        complete_percent);
        run_ended(now, *ref, *index, end.how);
    }
    if (!any)
        return;
    unacknowledged_.insert(w.info.id);
    if (!dirty_.empty())
        w.processed_batch = next_batch_;
    else
        w.processed_batch = batch_sent_ ? next_batch_ - 1 : stored_batch_;
}

void dispatcher::process_running(milliseconds now, worker_view& w,
                                 renew_reply const& r)
{
    w.runs_unknown_task = false;
    for (auto const& t : r.running)
    {
        auto const at = w.hosted_runs.find(t.run);
        if (at == w.hosted_runs.end())
        {
            stop_unexpected_run(now, w, t);
            continue;
        }
        auto& o = at->second;
        auto const run = active_.find(o.unit);
        if (run == active_.end())
        {
            if (now - o.stop_sent > limits_.max_stop_ms)
                send_stop(now, w, t.run);
            continue;
        }
        auto& a = run->second;
        auto const index = member_index(o.unit, a, t.run);
        if (!index)
            continue;
        auto& m = a.members[*index];
        if (m.first_reported_at < 0)
            m.first_percent = t.percent;
        m.reported_at = now;
        m.first_reported_at =
            m.first_reported_at < 0 ? now : m.first_reported_at;
        if (detail::is_proven(m))
            note_proven(o.unit, *index);
        if (o.isolated && detail::is_established(m) &&
            has_many_suspects(w.info.service))
        {
            w.end_isolation(o);
            changed_ = true;
        }
        if (m.phase == member_phase::adopted || is_unconfirmed(m.phase))
            confirm_running(now, o.unit, m, r.clock_ms);
        update_pace(now, w, o.unit, m, r.clock_ms, t.percent);
        if (t.percent > m.percent)
        {
            m.percent = t.percent;
            m.progress_at = now;
        }
        auto* u = find_unit(o.unit);
        if (u && !t.checkpoint.empty())
            u->checkpoint = t.checkpoint;
        if (o.ending && now - o.stop_sent > limits_.max_stop_ms)
            send_stop(now, w, t.run);
    }
}

void dispatcher::note_proven(unit_ref const& ref, std::size_t index)
{
    auto& losses = find_unit(ref)->losses;
    if (!losses.empty() &&
        clear_losses(losses, static_cast<std::int64_t>(index)))
        mark_dirty(ref.job);
}

void dispatcher::confirm_running(milliseconds now, unit_ref const& ref,
                                 member& m, milliseconds clock_ms)
{
    // One of the sends was carried out; others may be yet.
    if (m.unanswered_at >= 0)
        note_unanswered(m);
    m.phase = member_phase::running;
    m.started_ms = clock_ms;
    m.progress_at = now;
    auto* e = find_job(ref.job);
    if (!e || e->progress.begun)
        return;
    e->progress.begun = true;
    update_job_phase(now, *e);
}

void dispatcher::stop_unexpected_run(milliseconds now, worker_view& w,
                                     running_task const& t)
{
    auto const ref = ref_of(t.run);
    if (!ref)
    {
        w.runs_unknown_task = true;
        log_decision("run.unknown", t.run.task.job,
                     "worker=" + w.info.id +
                         " run=" + std::to_string(t.run.run));
    }
    else
    {
        auto const& e = *find_job(ref->job);
        auto const& step = step_of(e, *ref);
        w.add(t.run, {*ref, held_by(step), true, 0, now});
        stale_units_.insert(*ref);
        drop_reservation(*ref);
        log_decision("run.stale", t.run.task.job,
                     stale_run_text(w, t.run, e.progress.units.at(ref->unit),
                                    count_same_step(*ref, w.info.id),
                                    step.most_per_worker));
    }
    send_stop(now, w, t.run);
}

bool dispatcher::has_stale_run(unit_ref const& ref)
{
    if (stale_units_.count(ref) == 0)
        return false;
    auto const active = active_.find(ref);
    auto const current = active == active_.end() ? 0 : active->second.run;
    for (auto const& [id, w] : workers_)
        for (auto const& [run, o] : w.hosted_runs)
            if (o.unit == ref && run.run != current)
                return true;
    stale_units_.erase(ref);
    return false;
}

void dispatcher::process_missing(milliseconds now, worker_view& w,
                                 renew_reply const& r)
{
    if (r.ended.size() >= max_ends_per_reply)
        return; // incomplete list: the runs may be among the ends to come
    std::set<task_run> listed;
    for (auto const& t : r.running)
        listed.insert(t.run);
    std::vector<std::pair<task_run, unit_ref>> missing;
    for (auto const& [run, o] : w.hosted_runs)
        if (listed.count(run) == 0 && w.renewal_at >= o.late_start_until)
            missing.emplace_back(run, o.unit);
    for (auto const& [run, ref] : missing)
    {
        auto const at = active_.find(ref);
        auto const index = at == active_.end()
                               ? std::nullopt
                               : member_index(ref, at->second, run);
        if (!index)
        {
            w.remove(run);
            changed_ = true;
            continue;
        }
        auto const& m = at->second.members[*index];
        bool const surely_released =
            m.phase == member_phase::adopted ||
            m.phase == member_phase::awaiting_late_start ||
            (is_unconfirmed(m.phase) && r.clock_ms > m.until_ms) ||
            (m.phase == member_phase::running && r.clock_ms > m.started_ms);
        if (!surely_released || resend_start(now, ref, *index))
            continue;
        log_decision("run.absent", run.task.job,
                     "worker=" + w.info.id +
                         " index=" + std::to_string(run.task.index) +
                         " run=" + std::to_string(run.run) +
                         " phase=" + std::to_string(static_cast<int>(m.phase)));
        end_run(now, ref, "a task is missing on its worker");
        if (active_.count(ref) != 0)
            release_or_await(now, ref, *index);
    }
}

} // namespace jasminetrack::tasks
