#include <jasminetrack/tasks/dispatcher.hpp>

#include <algorithm>

namespace jasminetrack::tasks
{
namespace
{

/// The quarantine of a worker is this time, doubled for each failure since its
/// last completed run, up to the maximum.
constexpr milliseconds quarantine_ms = 4'000;
constexpr milliseconds max_quarantine_ms = 32'000;
/// Far below the times that are monitored.
constexpr milliseconds monitor_interval_ms = 50;

} // namespace

void dispatcher::put_worker(milliseconds now, worker_info const& info)
{
    auto& w = find_or_add_worker(info.id);
    bool const changes_service =
        !is_used(info.service) && is_used(w.info.service);
    bool const lacks_incarnation =
        info.incarnation == 0 && w.info.incarnation != 0;
    if (changes_service || lacks_incarnation)
    {
        // A worker does neither, so this is not its own entry.
        log_decision("worker.entry.ignored", "",
                     "worker=" + info.id + " service=" + info.service +
                         " born=" + std::to_string(info.incarnation));
        return;
    }
    auto const incarnation =
        w.has_ended(info.incarnation)
            ? w.info.incarnation
            : std::max(w.info.incarnation, info.incarnation);
    bool const restarted =
        w.info.incarnation != 0 && incarnation > w.info.incarnation;
    if (restarted)
        start_incarnation(now, w, incarnation, "a new incarnation is listed");
    if (info.draining && !w.info.draining)
        log_decision("worker.draining", "",
                     "worker=" + info.id +
                         " remaining_ms=" + std::to_string(info.remaining_ms));
    if (w.info.address.empty())
        log_decision("worker.listed", "",
                     "worker=" + info.id + " address=" + info.address +
                         " rack=" + info.rack +
                         " born=" + std::to_string(incarnation));
    log_capacity(w, info);
    note_drain(now, w, info);
    confirm_losses(now, info.id, incarnation);
    record_remaining_time(now, w, info);
    w.evacuated = evacuations_.contains(info.zone);
    w.cold_until = info.cold_ms > 0 ? now + info.cold_ms : 0;
    bool const is_new = w.info.address != info.address;
    w.info = info;
    w.info.incarnation = incarnation;
    w.listed_incarnation = info.incarnation;
    if (is_new)
    {
        schedule_renewal(info.id, w, now);
        note_address(now, w);
    }
    w.listed = true;
    changed_ = true;
}

void dispatcher::log_capacity(worker_view const& w,
                              worker_info const& info) const
{
    if (w.info.address.empty() || info.capacity == w.info.capacity)
        return;
    log_decision("worker.capacity", "",
                 "worker=" + info.id + " before=" + to_text(w.info.capacity) +
                     " now=" + to_text(info.capacity) +
                     " used=" + to_text(w.used()));
}

bool dispatcher::is_used(std::string const& service) const
{
    return std::any_of(config_.queues.begin(), config_.queues.end(),
                       [&](queue const& q) { return q.service == service; }) ||
           std::any_of(jobs_.begin(), jobs_.end(),
                       [&](auto const& entry)
                       { return entry.second.service == service; });
}

/// A worker reports the remaining time again and again. Each report is older
/// than it seems by the time that it took to arrive, so the earliest time
/// counts.
void dispatcher::record_remaining_time(milliseconds now, worker_view& w,
                                       worker_info const& info)
{
    if (!info.draining)
        w.leaves_at = -1;
    if (!info.draining || info.remaining_ms <= 0)
        return;
    auto const at = now + info.remaining_ms;
    w.leaves_at = w.leaves_at < 0 ? at : std::min(w.leaves_at, at);
}

void dispatcher::on_log_back(milliseconds since) noexcept
{
    list_currency_.on_log_back(since);
}

void dispatcher::on_list_read_failed() noexcept
{
    list_currency_.on_read_failed();
}

void dispatcher::on_list_read(milliseconds now, milliseconds as_of)
{
    bool const was_current = list_currency_.is_current(now);
    list_currency_.on_read(now, as_of);
    if (was_current || !list_currency_.is_current(now))
        return;
    changed_ = true;
    log_decision("workers.current", "", "");
}

void dispatcher::unlist_worker(milliseconds now, std::string const& id)
{
    auto const at = workers_.find(id);
    if (at == workers_.end() || !at->second.listed)
        return;
    note_lost_worker(now, at->second);
    at->second.listed = false;
    at->second.unlisted_since = now;
    changed_ = true;
    log_decision("worker.unlisted", "", "worker=" + id);
}

/// Orders to the earlier incarnation may still be carried out by the new one: a
/// late renewal could acknowledge its ends, as their numbers start again. So
/// nothing is started there before it has accepted a higher token.
void dispatcher::start_incarnation(milliseconds now, worker_view& w,
                                   std::int64_t incarnation,
                                   std::string const& why)
{
    note_lost_worker(now, w);
    w.replaced = true;
    auto const kept = unconfirmed_starts(w);
    for (auto const& [run, o] : kept)
    {
        log_lost_run(now, w, run, o.unit);
        record_loss(now, w, run, o.unit, true);
        if (active_.count(o.unit) != 0)
            end_run(now, o.unit, why);
    }
    end_lost_runs(now, w, why, kept);
    w.reset_for_incarnation(incarnation);
    raise_token(now, w);
    for (auto const& [run, o] : kept)
    {
        auto const at = active_.find(o.unit);
        auto const index = at == active_.end()
                               ? std::nullopt
                               : member_index(o.unit, at->second, run);
        if (!index)
            continue;
        auto& m = at->second.members[*index];
        note_earlier_sends(m);
        auto stray = stray_run(now, o, *index, m);
        w.late_runs_until =
            std::max(w.late_runs_until,
                     std::max(now, stray.late_start_until) + longest_lease());
        note_unanswered(m);
        m.phase = member_phase::unconfirmed;
        m.until_ms = 0;
        w.add(run, std::move(stray));
        send_stop(now, w, run);
    }
}

hosted_run dispatcher::stray_run(milliseconds now, hosted_run const& o,
                                 std::size_t index, member const& m) const
{
    auto const& step = step_of(jobs_.at(o.unit.job), o.unit);
    hosted_run stray{o.unit, held_by(step), true, 0, now};
    stray.late_start_until = late_start_end(o.unit, index, m);
    return stray;
}

/// \returns the runs whose starts may reach, or may have reached, a later
/// incarnation than the one they were sent to.
std::map<task_run, hosted_run>
dispatcher::unconfirmed_starts(worker_view const& w) const
{
    std::map<task_run, hosted_run> list;
    for (auto const& [run, o] : w.hosted_runs)
    {
        auto const at = active_.find(o.unit);
        if (at == active_.end())
            continue;
        auto const index = member_index(o.unit, at->second, run);
        if (!index)
            continue;
        auto const& m = at->second.members[*index];
        bool const was_sent_before =
            m.sent_before >= 0 &&
            m.sent_before + detail::late_order_ms > w.answered_renewal_at;
        // A start sent after the latest renewal that the earlier incarnation
        // has answered may have been answered by the new one. Earlier
        // dispatchers record which of theirs were answered.
        bool const is_own = m.last_sent_at > 0;
        if (is_unconfirmed(m.phase) ||
            w.may_follow_answer(late_start_end(o.unit, *index, m)) ||
            was_sent_before ||
            (is_own && m.phase != member_phase::recorded &&
             m.last_sent_at >= w.answered_renewal_at))
            list.emplace(run, o);
    }
    return list;
}

void dispatcher::record_outcome(milliseconds now, worker_view& w,
                                std::string const& job, run_end how)
{
    if (how == run_end::done)
    {
        w.failures = 0;
        w.last_failed_job.clear();
        w.quarantined_until = 0;
        w.last_success_at = now;
    }
    if (how == run_end::failed)
        w.last_success_at = -1;
    if (how != run_end::failed || w.last_failed_job == job)
        return;
    w.last_failed_job = job;
    ++w.failures;
    auto const duration =
        std::min(max_quarantine_ms, quarantine_ms << std::min(w.failures, 4));
    w.quarantined_until = now + duration;
    log_decision("worker.doubted", job,
                 "worker=" + w.info.id +
                     " failures=" + std::to_string(w.failures) +
                     " rest_ms=" + std::to_string(duration));
}

void dispatcher::monitor(milliseconds now)
{
    if (now - monitored_at_ < monitor_interval_ms)
        return;
    monitored_at_ = now;
    check_lost_workers(now);
    check_hanging(now);
    check_draining(now);
}

void dispatcher::on_stop(milliseconds now, stop_reply const& r)
{
    if (r.result == call_result::fenced && is_deposing(r.worker, r.token))
    {
        deposed_ = true;
        log_decision("dispatcher.deposed", r.run.task.job,
                     "worker=" + r.worker);
        return;
    }
    auto const at = workers_.find(r.worker);
    if (at == workers_.end())
        return;
    if (r.result == call_result::done)
        return;
    log_decision("stop.failed", r.run.task.job,
                 "worker=" + r.worker + " run=" + std::to_string(r.run.run) +
                     " result=" + to_text(r.result));
    auto const o = at->second.hosted_runs.find(r.run);
    if (r.result == call_result::no_answer &&
        o != at->second.hosted_runs.end() && o->second.ending &&
        at->second.unresponsive_since < 0)
        send_stop(now, at->second, r.run);
}

void dispatcher::send_stop(milliseconds now, worker_view& w,
                           task_run const& run)
{
    auto const at = w.hosted_runs.find(run);
    if (at != w.hosted_runs.end())
        at->second.stop_sent = now;
    if (!w.info.address.empty())
        out_.push_back(stop_order{w.info.id, w.info.address, w.token, run});
}

} // namespace jasminetrack::tasks
