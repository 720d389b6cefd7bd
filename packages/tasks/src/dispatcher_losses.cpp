#include <jasminetrack/tasks/dispatcher.hpp>
#include <jasminetrack/tasks/lease_bounds.hpp>

#include <algorithm>

namespace jasminetrack::tasks
{
namespace
{

/// Unlisted workers are kept for this time, as they may be listed again.
constexpr milliseconds unlisted_keep_ms = 60'000;

} // namespace

void dispatcher::check_lost_workers(milliseconds now)
{
    for (auto at = workers_.begin(); at != workers_.end();)
    {
        auto& w = at->second;
        w.drop_late_starts(now);
        if (!w.hosted_runs.empty() && have_leases_ended(now, w))
            end_expired_runs(now, w);
        settle_worker(now, w);
        bool const gone = !w.listed && w.hosted_runs.empty() &&
                          now - w.unlisted_since > unlisted_keep_ms;
        if (gone)
            drop_worker(now, w);
        at = gone ? workers_.erase(at) : std::next(at);
    }
    confirm_gone_workers(now);
}

/// \returns whether the worker has certainly ended all its runs.
bool dispatcher::have_leases_ended(milliseconds now, worker_view const& w) const
{
    if (now <= late_lease_end(w))
        return false;
    bool const never_reached = !w.token_known() && w.clock_at_ < 0;
    return never_reached ? now > unreached_runs_end(w)
                         : w.is_lease_expired(now);
}

/// \returns until when a lease may last that an order to an earlier process has
/// set.
milliseconds dispatcher::late_lease_end(worker_view const& w) const
{
    return w.late_lease_until.value_or(created_at_ + longest_lease());
}

/// \returns how long after `now` such a lease may last on any of the workers.
milliseconds
dispatcher::longest_late_lease(milliseconds now,
                               std::vector<std::string> const& places) const
{
    milliseconds longest = 0;
    for (auto const& id : places)
    {
        auto const at = workers_.find(id);
        if (at != workers_.end())
            longest = std::max(longest, late_lease_end(at->second) - now);
    }
    return longest;
}

/// The dispatcher that placed the unit had fenced the worker's process, and the
/// placement was stored before this one was created.
void dispatcher::adopt_late_lease(worker_view& w, unit const& u) const
{
    if (u.late_lease_ms == unknown_late_lease_ms)
        return;
    auto const until = u.late_lease_ms == 0 ? 0 : created_at_ + u.late_lease_ms;
    w.late_lease_until = std::min(late_lease_end(w), until);
}

/// No order to an earlier process has left a lease on the worker any more. A
/// successor then counts on none for its runs either.
void dispatcher::settle_worker(milliseconds now, worker_view& w)
{
    if (w.late_lease_until.value_or(0) == 0 || now <= *w.late_lease_until)
        return;
    w.late_lease_until = 0;
    for (auto const& [run, o] : w.hosted_runs)
    {
        if (active_.count(o.unit) == 0)
            continue;
        auto& u = find_job(o.unit.job)->progress.units.at(o.unit.unit);
        if (u.late_lease_ms == 0 || longest_late_lease(now, u.places) > 0)
            continue;
        u.late_lease_ms = 0;
        mark_dirty(o.unit.job);
    }
}

/// \returns when the runs of earlier dispatchers and of late starts have ended
/// at a worker that this dispatcher has not reached.
milliseconds dispatcher::unreached_runs_end(worker_view const& w) const
{
    return std::max(role_.earlier_leases_end(), w.late_runs_until);
}

/// \returns which of its leases was the last one.
std::string dispatcher::expired_lease(worker_view const& w) const
{
    bool const reached = w.clock_at_ >= 0;
    if (reached ? w.clock_floor(late_lease_end(w)) > w.lease_until_
                : late_lease_end(w) > unreached_runs_end(w))
        return "leases by orders to earlier processes expired";
    if (reached)
        return "its lease expired";
    return w.late_runs_until > role_.earlier_leases_end()
               ? "leases by late starts expired"
               : "leases of earlier dispatchers expired";
}

/// The runs that the worker's leases covered have ended. A unit with a start
/// that may be carried out late is not placed again before that run must have
/// ended as well.
void dispatcher::end_expired_runs(milliseconds now, worker_view& w)
{
    std::map<task_run, hosted_run> kept;
    for (auto const& [run, o] : w.hosted_runs)
        if (now < late_run_end(now, w, run, o.unit))
            kept.emplace(run, o);
    if (kept.size() < w.hosted_runs.size())
        end_lost_runs(now, w, expired_lease(w), kept);
    for (auto const& [run, o] : kept)
    {
        log_lost_run(now, w, run, o.unit);
        record_loss(now, w, run, o.unit, w.replaced);
        if (active_.count(o.unit) != 0)
            end_run(now, o.unit, "its worker was lost");
        auto const at = active_.find(o.unit);
        auto const index = at == active_.end()
                               ? std::nullopt
                               : member_index(o.unit, at->second, run);
        if (index)
            await_late_start(now, o.unit, *index);
    }
}

/// \returns until when a late start of the run may keep it on a silent worker;
/// 0 if none can come late.
milliseconds dispatcher::late_run_end(milliseconds now, worker_view const& w,
                                      task_run const& run,
                                      unit_ref const& ref) const
{
    auto const at = active_.find(ref);
    auto const index =
        at == active_.end() ? std::nullopt : member_index(ref, at->second, run);
    if (!index || !is_placed_again(ref))
        return 0;
    auto m = at->second.members[*index];
    note_earlier_sends(m);
    bool const has_left = !w.listed && list_currency_.is_current(now);
    auto const late_until = late_start_end(ref, *index, m);
    if (has_left || !w.may_follow_answer(late_until))
        return 0;
    return late_until + longest_lease();
}

milliseconds dispatcher::longest_lease() const noexcept
{
    return on_slow_clock(limits_.max_lease_ms);
}

void dispatcher::end_lost_runs(milliseconds now, worker_view& w,
                               std::string const& why,
                               std::map<task_run, hosted_run> const& kept)
{
    std::vector<std::pair<task_run, unit_ref>> lost;
    for (auto const& [run, o] : w.hosted_runs)
        if (kept.count(run) == 0)
            lost.emplace_back(run, o.unit);
    log_lost_worker(now, w, lost.size(), why);
    for (auto const& [run, ref] : lost)
    {
        log_lost_run(now, w, run, ref);
        record_loss(now, w, run, ref, w.replaced);
        auto const at = active_.find(ref);
        auto const index = at == active_.end()
                               ? std::nullopt
                               : member_index(ref, at->second, run);
        w.remove(run);
        if (!index)
            continue;
        note_lost_run(now, w, ref);
        end_run(now, ref, "its worker was lost");
        if (active_.count(ref) != 0)
            release_member(now, ref, *index);
    }
    changed_ = true;
}

void dispatcher::log_lost_worker(milliseconds now, worker_view const& w,
                                 std::size_t runs, std::string const& why) const
{
    auto const silent_ms =
        w.unresponsive_since < 0 ? 0 : now - w.unresponsive_since;
    log_decision("worker.lost", "",
                 "worker=" + w.info.id + " runs=" + std::to_string(runs) +
                     " replaced=" + (w.replaced ? "1" : "0") +
                     " reached=" + (w.clock_at_ >= 0 ? "1" : "0") +
                     " silent_ms=" + std::to_string(silent_ms) + " why=\"" +
                     why + "\"");
}

/// Two workers cannot share an address, so the process of the one that started
/// earlier has ended.
void dispatcher::note_address(milliseconds now, worker_view& w)
{
    auto& holder = holder_of_address_[w.info.address];
    auto const other = workers_.find(holder);
    bool const is_shared = other != workers_.end() && holder != w.info.id &&
                           other->second.info.address == w.info.address;
    if (is_shared && other->second.info.incarnation > w.info.incarnation)
    {
        w.replaced = true;
        return;
    }
    if (is_shared)
    {
        other->second.replaced = true;
        confirm_losses(now, holder, detail::any_incarnation);
    }
    holder = w.info.id;
}

void dispatcher::forget_address(worker_view const& w)
{
    auto const at = holder_of_address_.find(w.info.address);
    if (at != holder_of_address_.end() && at->second == w.info.id)
        holder_of_address_.erase(at);
}

void dispatcher::log_lost_run(milliseconds now, worker_view const& w,
                              task_run const& run, unit_ref const& ref) const
{
    auto const at = active_.find(ref);
    auto const index =
        at == active_.end() ? std::nullopt : member_index(ref, at->second, run);
    if (!index)
        return;
    auto const& m = at->second.members[*index];
    if (m.phase == member_phase::recorded ||
        m.phase == member_phase::awaiting_late_start)
        return;
    auto const silent_at =
        w.unresponsive_since >= 0 ? w.unresponsive_since : now;
    // An earlier dispatcher sent the start of an adopted run.
    auto const ran_ms =
        m.sent_at == 0 ? -1 : std::max<milliseconds>(0, silent_at - m.sent_at);
    log_decision("run.lost", run.task.job,
                 "worker=" + w.info.id + " rack=" + w.info.rack +
                     " step=" + std::to_string(run.task.step) +
                     " index=" + std::to_string(run.task.index) +
                     " run=" + std::to_string(run.run) +
                     " ran_ms=" + std::to_string(ran_ms) +
                     " established=" + (detail::is_established(m) ? "1" : "0") +
                     " answered=" + (m.started_ms > 0 ? "1" : "0") +
                     " listed=" + (m.reported_at >= 0 ? "1" : "0") +
                     " incarnation=" + std::to_string(w.info.incarnation) +
                     " exposure=" + to_text(exposure_of(w, at->second, m)) +
                     " others=" + std::to_string(w.hosted_runs.size() - 1));
}

} // namespace jasminetrack::tasks
