#include <jasminetrack/tasks/dispatcher.hpp>
#include <jasminetrack/tasks/lease_bounds.hpp>

#include <algorithm>

namespace jasminetrack::tasks
{
namespace
{

/// \returns the incarnation on which a member was placed; 0: not recorded.
std::int64_t incarnation_of(unit const& u, std::size_t index)
{
    return index < u.incarnations.size() ? u.incarnations[index] : 0;
}

} // namespace

std::optional<std::size_t> dispatcher::member_index(unit_ref const& ref,
                                                    active_run const& a,
                                                    task_run const& run) const
{
    if (a.run != run.run)
        return std::nullopt;
    auto const& e = jobs_.at(ref.job);
    auto const index = step_of(e, ref).gang ? run.task.index : 0;
    if (index < 0 || index >= std::ssize(a.members) ||
        a.members[static_cast<std::size_t>(index)].phase ==
            member_phase::released)
        return std::nullopt;
    return static_cast<std::size_t>(index);
}

void dispatcher::release_member(milliseconds now, unit_ref const& ref,
                                std::size_t index)
{
    auto& a = active_.at(ref);
    auto& e = *find_job(ref.job);
    auto& m = a.members[index];
    if (m.phase == member_phase::released)
        return;
    auto const at = workers_.find(m.worker);
    if (at != workers_.end())
        at->second.remove(run_of(ref, a.run, index, step_of(e, ref).gang));
    m.phase = member_phase::released;
    auto& u = e.progress.units.at(ref.unit);
    if (index < u.places.size())
        u.places[index].clear();
    if (u.phase != unit_phase::done)
        mark_dirty(ref.job);
    changed_ = true;
    bool const all_released =
        std::all_of(a.members.begin(), a.members.end(),
                    [](member const& other)
                    { return other.phase == member_phase::released; });
    if (all_released)
        finish_run(now, ref);
}

/// The member has ended on its worker. If a send of its start may still be
/// carried out there, a unit that runs again keeps the place and waits; if only
/// one of an earlier dispatcher may, which the worker's process refuses, the
/// unit's next run keeps the place. Else the place is released, and the send
/// only counts towards the step's limit.
void dispatcher::release_or_await(milliseconds now, unit_ref const& ref,
                                  std::size_t index)
{
    auto& a = active_.at(ref);
    auto& m = a.members[index];
    auto const w = workers_.find(m.worker);
    if (w == workers_.end())
    {
        release_member(now, ref, index);
        return;
    }
    if (is_placed_again(ref) && may_start_late(w->second, m))
    {
        await_late_start(now, ref, index);
        return;
    }
    note_earlier_sends(m);
    if (may_start_late(w->second, m))
    {
        bool const gang = step_of(jobs_.at(ref.job), ref).gang;
        w->second.late_starts[run_of(ref, a.run, index, gang)] = {
            ref, detail::late_start_end(m)};
        if (is_placed_again(ref))
            note_late_start(ref, index, detail::late_start_end(m));
    }
    release_member(now, ref, index);
}

/// Keeps the member's place and capacity: a later incarnation may carry out the
/// start.
void dispatcher::await_late_start(milliseconds now, unit_ref const& ref,
                                  std::size_t index)
{
    auto& a = active_.at(ref);
    auto& m = a.members[index];
    auto& w = workers_.at(m.worker);
    auto const& step = step_of(jobs_.at(ref.job), ref);
    auto const run = run_of(ref, a.run, index, step.gang);
    if (m.phase == member_phase::awaiting_late_start &&
        w.hosted_runs.count(run) != 0)
        return;
    note_unanswered(m);
    m.phase = member_phase::awaiting_late_start;
    hosted_run o{ref, held_by(step), true};
    o.late_start_until = detail::late_start_end(m);
    w.add(run, std::move(o));
    changed_ = true;
    log_decision("unit.await_late_start", ref.job,
                 "worker=" + m.worker + " index=" + std::to_string(index) +
                     " run=" + std::to_string(a.run) + " wait_ms=" +
                     std::to_string(detail::late_start_end(m) - now));
}

bool dispatcher::is_placed_again(unit_ref const& ref) const
{
    auto const& p = jobs_.at(ref.job).progress;
    return !is_final(p.phase) && p.units.at(ref.unit).phase != unit_phase::done;
}

/// \returns whether a start of the member may reach a later incarnation of the
/// worker than the one whose answer is the latest.
bool dispatcher::may_start_late(worker_view const& w, member const& m)
{
    return w.may_follow_answer(detail::late_start_end(m));
}

void dispatcher::note_unanswered(member& m) noexcept
{
    if (m.phase == member_phase::starting)
        m.unanswered_at = m.last_sent_at;
}

void dispatcher::note_earlier_sends(member& m) noexcept
{
    m.unanswered_at = std::max(m.unanswered_at, m.sent_before);
}

void dispatcher::release_awaiting(milliseconds now, unit_ref const& ref)
{
    auto const members = active_.at(ref).members;
    for (std::size_t i = 0; i < members.size(); ++i)
        if (members[i].phase == member_phase::awaiting_late_start)
            release_member(now, ref, i);
}

void dispatcher::end_run(milliseconds now, unit_ref const& ref,
                         std::string const& why,
                         std::optional<std::size_t> ended)
{
    auto& a = active_.at(ref);
    if (a.over)
        return;
    a.over = true;
    auto& e = *find_job(ref.job);
    auto& u = e.progress.units.at(ref.unit);
    if (u.phase == unit_phase::active)
        set_unit_phase(e, u, unit_phase::ending);
    mark_dirty(ref.job);
    log_decision("unit.end_run", ref.job,
                 "step=" + std::to_string(ref.unit.step) +
                     " index=" + std::to_string(ref.unit.index) +
                     " run=" + std::to_string(a.run) + " why=\"" + why +
                     "\" lost_core_s=" +
                     std::to_string(static_cast<std::int64_t>(
                         u.phase == unit_phase::done
                             ? 0
                             : lost_work(now, a, step_of(e, ref)))) +
                     moved_text(departures_.moves_of(ref)));
    std::vector<std::size_t> unsent;
    for (std::size_t i = 0; i < a.members.size(); ++i)
    {
        auto& m = a.members[i];
        if (m.phase == member_phase::released || i == ended)
            continue;
        if (m.phase == member_phase::recorded)
        {
            unsent.push_back(i);
            continue;
        }
        auto const at = workers_.find(m.worker);
        if (at == workers_.end())
            continue;
        auto const run = run_of(ref, a.run, i, step_of(e, ref).gang);
        if (at->second.hosted_runs.count(run) == 0)
            continue;
        at->second.mark_ending(now, run);
        send_stop(now, at->second, run);
    }
    for (auto const i : unsent)
        if (active_.count(ref) != 0)
            release_member(now, ref, i);
}

/// The worker has carried out the only send of the start, so that none can
/// arrive late.
void dispatcher::note_arrived(member& m) noexcept
{
    bool const is_only_send =
        m.sent_at == m.last_sent_at && m.unanswered_at < 0 && m.sent_before < 0;
    if (m.phase == member_phase::starting && is_only_send)
        m.phase = member_phase::running;
}

void dispatcher::run_ended(milliseconds now, unit_ref const& ref,
                           std::size_t index, run_end how)
{
    auto& a = active_.at(ref);
    auto& e = *find_job(ref.job);
    auto& u = e.progress.units.at(ref.unit);
    auto const worker = a.members[index].worker;
    bool const lasting = step_of(e, ref).lasting;
    // A stop may end a run that never began.
    if (how != run_end::stopped)
        note_arrived(a.members[index]);
    if (how == run_end::done && !lasting && u.phase != unit_phase::done)
    {
        set_unit_phase(e, u, unit_phase::done);
        mark_dirty(ref.job);
        a.over = true;
        for (std::size_t i = 0; i < a.members.size(); ++i)
            if (auto const w = workers_.find(a.members[i].worker);
                w != workers_.end())
                w->second.mark_ending(
                    now, run_of(ref, a.run, i, step_of(e, ref).gang));
    }
    if (how == run_end::failed && !a.counted)
        count_failure(now, e, ref, u, a, worker);
    end_run(now, ref, to_text(how), index);
    if (active_.count(ref) != 0)
        release_or_await(now, ref, index);
    update_job_phase(now, e);
}

void dispatcher::complete_from_earlier_run(milliseconds now,
                                           unit_ref const& ref)
{
    auto& e = *find_job(ref.job);
    auto& u = e.progress.units.at(ref.unit);
    if (u.phase == unit_phase::done || step_of(e, ref).lasting ||
        is_final(e.progress.phase))
        return;
    set_unit_phase(e, u, unit_phase::done);
    mark_dirty(ref.job);
    drop_reservation(ref);
    if (active_.count(ref) != 0)
        end_run(now, ref, "an earlier run has completed");
    update_job_phase(now, e);
}

void dispatcher::count_failure(milliseconds now, job_entry& e,
                               unit_ref const& ref, unit& u, active_run& a,
                               std::string const& worker)
{
    a.counted = true;
    ++u.failures;
    u.failed_run = a.run;
    mark_dirty(ref.job);
    e.failed_on[ref].insert(worker);
    e.failed_at[ref] = now;
}

void dispatcher::finish_run(milliseconds now, unit_ref const& ref)
{
    active_.erase(ref);
    auto& e = *find_job(ref.job);
    auto& u = e.progress.units.at(ref.unit);
    // A successor has to keep the places of a unit with late starts as well.
    auto const* const late =
        u.phase == unit_phase::done ? nullptr : open_late_starts(now, e, ref);
    u.places = late ? late->places : std::vector<std::string>{};
    u.incarnations.clear();
    u.late_lease_ms = unknown_late_lease_ms;
    if (u.phase == unit_phase::active || u.phase == unit_phase::ending)
        set_unit_phase(e, u, unit_phase::waiting);
    update_job_phase(now, e);
}

void dispatcher::set_unit_phase(job_entry& e, unit& u, unit_phase phase)
{
    e.waiting -= u.phase == unit_phase::waiting ? 1 : 0;
    e.unfinished -= u.phase == unit_phase::done ? 0 : 1;
    u.phase = phase;
    e.waiting += u.phase == unit_phase::waiting ? 1 : 0;
    e.unfinished += u.phase == unit_phase::done ? 0 : 1;
}

void dispatcher::update_job_phase(milliseconds now, job_entry& e)
{
    auto& p = e.progress;
    if (is_final(p.phase))
        return;
    if (e.unfinished == 0)
    {
        finish_job(now, e, job_phase::completed);
        return;
    }
    auto const* q = queue_of(e);
    for (auto const& [id, u] : p.units)
    {
        bool const lasting =
            e.job.spec.steps[static_cast<std::size_t>(id.step)].lasting;
        if (q && !lasting && u.failures >= q->max_attempts &&
            u.phase != unit_phase::done)
        {
            finish_job(now, e, job_phase::failed);
            return;
        }
        if (u.phase == unit_phase::waiting &&
            judge(u.losses) == crash_verdict::give_up)
        {
            log_given_up(e, id, u);
            finish_job(now, e, job_phase::failed);
            return;
        }
    }
    auto const phase = p.begun ? job_phase::running : job_phase::queued;
    if (p.phase != phase)
        mark_dirty(e.job.id);
    p.phase = phase;
}

void dispatcher::finish_job(milliseconds now, job_entry& e, job_phase phase)
{
    e.progress.phase = phase;
    auto const id = e.job.id;
    mark_dirty(id);
    final_batch_[id] = next_batch_;
    unread_final_records_.insert(id);
    log_job_decision("job.final", e,
                     std::string("phase=") + to_text(phase) +
                         " queue=" + e.job.queue +
                         " known_ms=" + std::to_string(now - e.known_at) +
                         " objective_ms=" + std::to_string(e.objective_ms) +
                         moved_text(departures_.moves_of_job(id)));
    std::vector<unit_ref> runs;
    for (auto at = active_.lower_bound({id, {}});
         at != active_.end() && at->first.job == id; ++at)
        runs.push_back(at->first);
    for (auto const& ref : runs)
    {
        if (active_.count(ref) != 0)
            end_run(now, ref, std::string("job ") + to_text(phase));
        if (active_.count(ref) != 0)
            release_awaiting(now, ref);
    }
    std::vector<unit_ref> reserved;
    for (auto at = reservations_.lower_bound({id, {}});
         at != reservations_.end() && at->first.job == id; ++at)
        reserved.push_back(at->first);
    for (auto const& ref : reserved)
        drop_reservation(ref);
    drop_old_clearances(now);
    changed_ = true;
}

/// A later incarnation that is listed or answers shows that the worker has
/// crashed under the runs that an earlier dispatcher placed there. An entry
/// that is older than such a placement shows nothing.
void dispatcher::adopt_worker(milliseconds now, std::string const& id,
                              std::int64_t incarnation)
{
    auto& w = find_or_add_worker(id);
    if (w.info.id.empty())
    {
        w.info.id = id;
        w.listed = false;
    }
    // What has answered this dispatcher is later than any earlier placement.
    if (w.answered_at >= 0)
        return;
    if (w.info.incarnation != 0 && incarnation > w.info.incarnation)
        start_incarnation(now, w, incarnation,
                          "a run was placed on a later incarnation");
    w.info.incarnation = std::max(w.info.incarnation, incarnation);
}

/// Before any run of the job is adopted: a later incarnation ends the runs on
/// the earlier one.
void dispatcher::adopt_workers(milliseconds now, job_progress const& p)
{
    for (auto const& [id, u] : p.units)
    {
        if (u.phase != unit_phase::active && u.phase != unit_phase::ending)
            continue;
        for (std::size_t i = 0; i < u.places.size(); ++i)
            if (!u.places[i].empty())
                adopt_worker(now, u.places[i], incarnation_of(u, i));
    }
}

void dispatcher::adopt_runs(milliseconds now, job_entry& e)
{
    adopt_workers(now, e.progress);
    for (auto& [id, u] : e.progress.units)
    {
        unit_ref const ref{e.job.id, id};
        adopt_losses(ref, u);
        if (u.phase == unit_phase::waiting && !u.places.empty())
            adopt_late_starts(e, ref, u);
        if (u.phase != unit_phase::active && u.phase != unit_phase::ending)
            continue;
        auto const& step = step_of(e, ref);
        auto& a = active_[ref];
        a.run = u.run;
        a.over = u.phase == unit_phase::ending;
        a.counted = u.failed_run == u.run;
        a.first_sent = a.placed_at = now;
        a.number = next_number_++;
        bool const is_isolated = judge(u.losses) == crash_verdict::isolate;
        if (is_isolated)
            a.fresh_exposure = crash_exposure::isolated;
        for (std::size_t i = 0; i < u.places.size(); ++i)
        {
            member m;
            m.worker = u.places[i];
            m.phase = u.places[i].empty() ? member_phase::released
                                          : member_phase::adopted;
            m.sent_before = u.answered_run == u.run ? -1 : created_at_;
            a.members.push_back(m);
            if (m.phase == member_phase::released)
                continue;
            auto& w = workers_.at(m.worker);
            w.add(run_of(ref, u.run, i, step.gang),
                  {ref, held_by(step), a.over, 0, a.over ? now : 0, is_isolated,
                   is_vulnerable(u.losses)});
            record_loss_before_adoption(w, ref, i, incarnation_of(u, i));
            if (incarnation_of(u, i) == w.info.incarnation)
                adopt_late_lease(w, u);
        }
    }
    std::vector<unit_ref> empty;
    for (auto at = active_.lower_bound({e.job.id, {}});
         at != active_.end() && at->first.job == e.job.id; ++at)
        if (std::all_of(at->second.members.begin(), at->second.members.end(),
                        [](member const& m)
                        { return m.phase == member_phase::released; }))
            empty.push_back(at->first);
    for (auto const& ref : empty)
        finish_run(now, ref);
}

} // namespace jasminetrack::tasks
