#include <jasminetrack/tasks/dispatcher.hpp>

#include <algorithm>
#include <utility>

namespace jasminetrack::tasks
{
namespace
{

/// Workers refuse a start that arrives later than this. It is half of the time
/// for which the members of a gang wait for each other.
constexpr milliseconds start_window_ms = 1'500;
/// A start is retried only while this much of its window is left.
constexpr milliseconds min_retry_window_ms = 300;
/// A start that its worker did not get is repeated there for at most this long.
constexpr milliseconds max_resend_ms = 4'000;
/// A call of a worker has ended by then, with or without an answer.
constexpr milliseconds max_call_ms = 1'000;
/// An answer to a renewal arrives at most this long after the worker gave it.
constexpr milliseconds max_answer_delay_ms = 5'000;
constexpr milliseconds refused_quarantine_ms = 2'000;
/// Answers to starts are recorded this much later, if the job's progress is not
/// recorded for another reason before.
constexpr milliseconds max_unrecorded_ms = 500;
/// A task may be started for 3 s after the cancellation of its job. An answer
/// to a read can be 0.6 s old, and a start takes up to 0.3 s to its worker.
constexpr milliseconds max_jobs_age_ms = 2'100;

} // namespace

void dispatcher::place(milliseconds now, job_entry& e, unit_ref const& ref,
                       std::vector<std::string> const& places, bool lent)
{
    auto& u = e.progress.units.at(ref.unit);
    auto const& step = step_of(e, ref);
    set_unit_phase(e, u, unit_phase::active);
    ++u.run;
    u.places = places;
    auto& a = active_[ref];
    a = {};
    a.run = u.run;
    a.placed_at = now;
    a.batch = next_batch_;
    a.number = next_number_++;
    if (verdict_on(now, e, ref) == crash_verdict::isolate)
        a.fresh_exposure = join_suspects(ref, places);
    bool const is_isolated = a.fresh_exposure != crash_exposure::starting;
    u.incarnations.clear();
    for (std::size_t i = 0; i < places.size(); ++i)
    {
        member m;
        m.worker = places[i];
        a.members.push_back(m);
        auto& w = workers_.at(places[i]);
        u.incarnations.push_back(w.info.incarnation);
        w.add(run_of(ref, u.run, i, step.gang),
              {ref, held_by(step), false, 0, 0, is_isolated,
               is_vulnerable(u.losses), 0, lent});
        // The lease of an idle worker may have expired.
        if (w.idle_pause_ms > 0)
            schedule_renewal(places[i], w, now);
    }
    u.late_lease_ms = longest_late_lease(now, places);
    departures_.waits.erase(ref);
    mark_dirty(ref.job);
    unsent_.push_back(ref);
    log_decision("unit.place", ref.job,
                 "step=" + std::to_string(ref.unit.step) +
                     " index=" + std::to_string(ref.unit.index) +
                     " run=" + std::to_string(u.run) +
                     " tasks=" + std::to_string(places.size()) +
                     " each=" + std::to_string(step.need.accelerators) +
                     " first=" + places[0] +
                     " racks=" + std::to_string(count_racks(places)) +
                     " wants_rack=" + (step.same_rack ? "1" : "0") +
                     " limit=" + std::to_string(step.most_per_worker) +
                     " estimate_ms=" + std::to_string(step.estimate_ms) +
                     " priority=" + std::to_string(e.priority) +
                     " isolated=" + (is_isolated ? "1" : "0") +
                     " waited_ms=" + std::to_string(now - e.known_at) +
                     (lent ? " lent=1" : ""));
}

std::size_t
dispatcher::count_racks(std::vector<std::string> const& places) const
{
    std::set<std::string> racks;
    for (auto const& id : places)
        racks.insert(workers_.at(id).info.rack);
    return racks.size();
}

void dispatcher::on_jobs_current(milliseconds now, milliseconds read_at)
{
    bool const was_current = knows_cancellations(now);
    jobs_current_at_ = read_at;
    if (was_current || !knows_cancellations(now))
        return;
    changed_ = true;
    log_decision("jobs.current", "", "");
}

bool dispatcher::knows_cancellations(milliseconds now) const noexcept
{
    return !jobs_current_at_ || now - *jobs_current_at_ <= max_jobs_age_ms;
}

bool dispatcher::can_start(milliseconds now, unit_ref const& ref,
                           active_run const& a) const
{
    if (!has_current_views(now) || !role_.may_start(now, start_window_ms))
        return false;
    auto const* q = queue_of(jobs_.at(ref.job));
    bool const advised = q && q->advised;
    return std::all_of(a.members.begin(), a.members.end(),
                       [&](member const& m)
                       {
                           auto const at = workers_.find(m.worker);
                           return at != workers_.end() &&
                                  at->second.accepts_starts(now) &&
                                  !at->second.runs_unknown_task &&
                                  !at->second.is_over_capacity() &&
                                  is_eligible(ref, m.worker) &&
                                  (!advised || ticket_of(now, ref, m.worker));
                       });
}

void dispatcher::send_starts(milliseconds now, unit_ref const& ref)
{
    auto const at = active_.find(ref);
    if (at == active_.end() || at->second.over || at->second.first_sent != 0)
        return;
    if (!can_start(now, ref, at->second))
    {
        end_run(now, ref, "a worker became unavailable before the start");
        return;
    }
    if (has_stale_run(ref))
    {
        end_run(now, ref, "an earlier run goes on");
        return;
    }
    auto* e = find_job(ref.job);
    at->second.first_sent = now;
    for (std::size_t i = 0; i < at->second.members.size(); ++i)
        send_start(now, *e, ref, i);
}

void dispatcher::send_start(milliseconds now, job_entry& e, unit_ref const& ref,
                            std::size_t index)
{
    auto& a = active_.at(ref);
    auto& m = a.members[index];
    auto& w = workers_.at(m.worker);
    if (m.phase != member_phase::starting)
    {
        m.sent_at = now;
        m.until_ms = w.clock_floor(now) + start_window_ms;
        w.extend_lease(m.until_ms);
    }
    m.phase = member_phase::starting;
    m.last_sent_at = now;
    start_order order;
    order.worker = w.info.id;
    order.address = w.info.address;
    order.token = w.token;
    order.run = run_of(ref, a.run, index, step_of(e, ref).gang);
    order.payload = e.job.spec.payload;
    order.until_ms = m.until_ms;
    if (auto const* ticket = ticket_of(now, ref, m.worker))
        order.ticket = *ticket;
    order.checkpoint = e.progress.units.at(ref.unit).checkpoint;
    out_.push_back(std::move(order));
}

bool dispatcher::is_on_recorded_process(unit_ref const& ref, std::size_t index)
{
    auto const& recorded = find_unit(ref)->incarnations;
    auto const& worker = active_.at(ref).members[index].worker;
    return index < recorded.size() &&
           recorded[index] == workers_.at(worker).info.incarnation;
}

/// \returns whether the start was sent again to the worker, which does not have
/// the run, or will be. No other worker may get it while an earlier send of
/// this dispatcher may arrive.
bool dispatcher::resend_start(milliseconds now, unit_ref const& ref,
                              std::size_t index)
{
    auto& a = active_.at(ref);
    auto& m = a.members[index];
    bool const is_adopted = m.phase == member_phase::adopted;
    // A later process may have followed a crash of the task.
    bool const is_open = is_adopted ? is_on_recorded_process(ref, index)
                                    : is_unconfirmed(m.phase);
    auto const& w = workers_.at(m.worker);
    // An adopted run is absent at a process that has answered this dispatcher
    // and so refuses the sends of earlier ones.
    if (!is_open || a.over || (!is_adopted && !may_start_late(w, m)))
        return false;
    if (!role_.is_proven(now))
        return true; // until the log confirms it
    auto const since =
        std::max({a.first_sent, role_.proven_since(), w.answers_since});
    if (now - since > max_resend_ms)
        return false;
    if (m.phase == member_phase::starting && now - m.last_sent_at < max_call_ms)
        return true; // once that send is answered or given up
    if (w.runs_unknown_task || has_stale_run(ref))
        return true; // once those runs have ended
    // A new dispatcher's list of workers is not current yet.
    if (!can_start(now, ref, a))
    {
        bool const waits = is_adopted && !list_currency_.is_current(now);
        if (waits)
            deferred_resends_.emplace(ref, index);
        return waits;
    }
    note_unanswered(m);
    m.phase = member_phase::unconfirmed;
    send_start(now, *find_job(ref.job), ref, index);
    return true;
}

void dispatcher::send_deferred_resends(milliseconds now)
{
    for (auto const& [ref, index] : std::exchange(deferred_resends_, {}))
    {
        auto const at = active_.find(ref);
        if (at == active_.end() || index >= at->second.members.size() ||
            at->second.members[index].phase != member_phase::adopted)
            continue;
        resend_start(now, ref, index);
    }
}

void dispatcher::on_start(milliseconds now, start_reply const& r)
{
    if (r.result == call_result::fenced && is_deposing(r.worker, r.token))
    {
        deposed_ = true;
        log_decision("dispatcher.deposed", r.run.task.job,
                     "worker=" + r.worker);
        return;
    }
    auto const ref = ref_of(r.run);
    auto const at = ref ? active_.find(*ref) : active_.end();
    if (at == active_.end())
        return;
    auto const index = member_index(*ref, at->second, r.run);
    if (!index || at->second.members[*index].phase != member_phase::starting)
        return;
    if (r.result == call_result::done)
        member_started(now, *ref, *index, r.clock_ms);
    else
        start_failed(now, *ref, *index, r.result);
}

void dispatcher::member_started(milliseconds now, unit_ref const& ref,
                                std::size_t index, milliseconds clock_ms)
{
    auto& m = active_.at(ref).members[index];
    auto& w = workers_.at(m.worker);
    if (!w.may_read(clock_ms, m.last_sent_at, now))
    {
        // The worker has restarted: an answer to a renewal shows what runs.
        m.unanswered_at = m.last_sent_at;
        m.phase = member_phase::unconfirmed;
        m.until_ms = w.clock_floor(now) + max_answer_delay_ms;
        return;
    }
    m.phase = member_phase::running;
    m.started_ms = clock_ms;
    m.progress_at = now;
    auto& e = *find_job(ref.job);
    note_answered_run(now, e, ref);
    if (e.progress.units.at(ref.unit).checkpoint.empty())
        m.progress.update(clock_ms, 0);
    if (e.progress.begun)
        return;
    e.progress.begun = true;
    log_job_decision("job.begun", e,
                     "worker=" + m.worker +
                         " known_ms=" + std::to_string(now - e.known_at));
    update_job_phase(now, e);
    mark_dirty(ref.job);
}

/// A successor then knows that no start of the run can come late. The progress
/// is not stored for this alone, unless nothing else changes it soon.
void dispatcher::note_answered_run(milliseconds now, job_entry& e,
                                   unit_ref const& ref)
{
    auto const& a = active_.at(ref);
    bool const all_answered =
        std::all_of(a.members.begin(), a.members.end(),
                    [](member const& m)
                    {
                        return m.phase == member_phase::running &&
                               m.sent_before < 0 && m.unanswered_at < 0;
                    });
    if (!all_answered)
        return;
    // A successor does not know of starts of earlier runs.
    if (open_late_starts(now, e, ref))
        return;
    e.progress.units.at(ref.unit).answered_run = a.run;
    unrecorded_answers_.emplace(ref.job, now);
}

void dispatcher::record_answers(milliseconds now)
{
    std::erase_if(unrecorded_answers_,
                  [&](auto const& entry)
                  {
                      if (now - entry.second < max_unrecorded_ms)
                          return false;
                      mark_dirty(entry.first);
                      return true;
                  });
}

void dispatcher::start_failed(milliseconds now, unit_ref const& ref,
                              std::size_t index, call_result result)
{
    auto& a = active_.at(ref);
    auto& m = a.members[index];
    auto& w = workers_.at(m.worker);
    log_decision("start.failed", ref.job,
                 "worker=" + m.worker + " index=" + std::to_string(index) +
                     " run=" + std::to_string(a.run) +
                     " result=" + to_text(result));
    if (result == call_result::no_answer)
    {
        m.unanswered_at = m.last_sent_at;
        bool const has_time =
            now - m.sent_at < start_window_ms - min_retry_window_ms;
        if (has_time && role_.is_proven(now) && !has_stale_run(ref) &&
            can_start(now, ref, a))
            send_start(now, *find_job(ref.job), ref, index);
        else
            m.phase = member_phase::unconfirmed;
        return;
    }
    w.quarantined_until =
        std::max(w.quarantined_until, now + refused_quarantine_ms);
    if (result == call_result::old_run || m.unanswered_at >= 0)
    {
        // An earlier send of the order may have started the run.
        m.phase = member_phase::unconfirmed;
        return;
    }
    m.phase = member_phase::unconfirmed; // this send was not carried out
    end_run(now, ref, std::string("start refused: ") + to_text(result));
    if (active_.count(ref) != 0)
        release_or_await(now, ref, index);
}

} // namespace jasminetrack::tasks
