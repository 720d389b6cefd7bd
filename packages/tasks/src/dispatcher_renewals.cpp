#include <jasminetrack/tasks/dispatcher.hpp>

#include <algorithm>
#include <utility>

namespace jasminetrack::tasks
{
namespace
{

/// A draining worker may be gone before a longer lease ends.
constexpr milliseconds draining_lease_ms = 3'000;
/// Longest wait of a renewal at its worker. A third of the lease, so that two
/// renewals may be lost.
constexpr milliseconds renewal_wait_ms = 2'000;
/// Shows soon which runs of a worker are established that suspects wait for.
constexpr milliseconds awaited_renewal_wait_ms = 500;
constexpr milliseconds renewals_per_lease = 3;
/// Calls with the same time-out share connections, so waits are multiples.
constexpr milliseconds wait_step_ms = 500;
/// A shorter lease may end before its renewal arrives.
constexpr milliseconds min_lease_ms = 500;
constexpr milliseconds unacknowledged_renewal_ms = 1'000;
/// Interval between renewals that fail fast.
constexpr milliseconds unresponsive_retry_ms = 300;
/// Renewals of idle workers that may take up processor time of the busy ones.
constexpr std::int64_t max_idle_renewals_per_s = 200;
/// The estimate of an idle worker's clock must stay well within the window of a
/// start.
constexpr milliseconds max_idle_pause_ms = 10'000;
constexpr milliseconds ms_per_s = 1'000;
/// A new dispatcher contacts idle workers in groups of this size, so that the
/// workers with runs and the first starts do not wait for all of them.
constexpr std::size_t max_first_contacts = 128;
constexpr milliseconds first_contact_retry_ms = 20;

/// \returns how long a renewal may wait at its worker, given its lease.
milliseconds longest_wait(milliseconds lease)
{
    auto const share = lease / renewals_per_lease;
    if (share < wait_step_ms)
        return share;
    return (share / wait_step_ms + 1) * wait_step_ms;
}

} // namespace

void dispatcher::send_due_renewals(milliseconds now)
{
    for (auto const& id : renewals_.take_due(now))
    {
        auto const at = workers_.find(id);
        if (at == workers_.end() || at->second.info.address.empty())
            continue;
        auto& w = at->second;
        if (w.clock_at_ < 0 && w.unresponsive_since < 0 &&
            w.hosted_runs.empty() && !w.has_restarted())
        {
            if (first_contacts_.size() >= max_first_contacts)
            {
                renewals_.set(id, now + first_contact_retry_ms);
                continue;
            }
            first_contacts_.insert(id);
        }
        bool const has_unstored_ends =
            w.processed_end > w.last_seen && w.processed_batch > stored_batch_;
        send_renewal(now, w,
                     jobs_read_ && w.token_known() && !has_unstored_ends &&
                         w.unresponsive_since < 0 && idle_pause(w) == 0);
    }
}

void dispatcher::schedule_renewal(std::string const& worker,
                                  worker_view const& w, milliseconds due)
{
    if (!w.renewal_sent)
        renewals_.set(worker, due);
}

milliseconds dispatcher::idle_pause(worker_view const& w) const
{
    if (!w.hosted_runs.empty() || w.runs_unknown_task || !w.token_known() ||
        w.processed_end > w.last_seen)
        return 0;
    auto const pause =
        std::ssize(workers_) * ms_per_s / max_idle_renewals_per_s;
    return pause <= renewal_wait_ms ? 0 : std::min(pause, max_idle_pause_ms);
}

milliseconds dispatcher::next_renewal(milliseconds now,
                                      worker_view const& w) const
{
    if (!w.token_known())
        return now;
    if (w.processed_batch > stored_batch_)
        return now + unacknowledged_renewal_ms; // or once stored
    return now + w.idle_pause_ms;
}

void dispatcher::send_renewal(milliseconds now, worker_view& w, bool wait)
{
    if (w.processed_batch <= stored_batch_)
        w.last_seen = w.processed_end;
    renew_order order{w.info.id, w.info.address, w.token,
                      0,         w.last_seen,    wait ? renewal_wait_ms : 0};
    // The lease of an unresponsive worker is not extended: it may still carry
    // out the renewal, which would delay the time after which its runs are
    // certain to have ended.
    auto const lease = role_.grantable_lease(now);
    if (w.clock_at_ >= 0 && w.unresponsive_since < 0 && lease >= min_lease_ms)
    {
        order.wait_ms = std::min(order.wait_ms, longest_wait(lease));
        order.until_ms =
            w.clock_floor(now) +
            (w.info.draining ? std::min(lease, draining_lease_ms) : lease);
        w.extend_lease(order.until_ms);
    }
    order.wait_ms = std::min(order.wait_ms, w.late_start_wait(now));
    bool const is_awaited =
        cleared_workers_.count(w.info.id) != 0 ||
        (w.hosts_isolated_run() && has_many_suspects(w.info.service));
    if (is_awaited)
        order.wait_ms = std::min(order.wait_ms, awaited_renewal_wait_ms);
    w.renewal_sent = true;
    w.renewal_at = now;
    w.renewal_address = w.info.address;
    out_.push_back(order);
}

void dispatcher::on_renew(milliseconds now, renew_reply const& r)
{
    first_contacts_.erase(r.worker);
    auto const at = workers_.find(r.worker);
    if (at == workers_.end())
        return;
    auto& w = at->second;
    if (r.token < w.token)
        return; // sent to an earlier process; another one is under way
    w.renewal_sent = false;
    if (r.result == call_result::fenced)
    {
        deposed_ = true;
        log_decision("dispatcher.deposed", "", "worker=" + r.worker);
        return;
    }
    if (r.result != call_result::done)
    {
        record_unresponsive(now, w, r.result);
        return;
    }
    bool const is_first_answer = w.clock_at_ < 0;
    record_answer(now, w, r);
    if (!jobs_read_)
    {
        keep_lease(now, w, r, is_first_answer);
        return;
    }
    process_ended(now, w, r);
    process_running(now, w, r);
    process_missing(now, w, r);
    w.idle_pause_ms = idle_pause(w);
    schedule_renewal(at->first, w, next_renewal(now, w));
}

/// The first answer tells the worker's clock, from which the next renewal sets
/// the end of the lease.
void dispatcher::keep_lease(milliseconds now, worker_view& w,
                            renew_reply const& r, bool is_first_answer)
{
    w.runs_unknown_task = !r.running.empty() || !r.ended.empty();
    w.idle_pause_ms = idle_pause(w);
    schedule_renewal(w.info.id, w,
                     is_first_answer || !w.token_known()
                         ? now
                         : now + std::max(w.idle_pause_ms, renewal_wait_ms));
}

void dispatcher::on_jobs_read(milliseconds now)
{
    if (std::exchange(jobs_read_, true))
        return;
    changed_ = true;
    for (auto& [id, w] : workers_)
    {
        if (w.hosted_runs.empty() && !w.runs_unknown_task)
            continue;
        // Another process has answered at its address while its runs were not
        // known; the next answer ends them.
        if (w.unresponsive_since >= 0)
            w.replaced = false;
        schedule_renewal(id, w, now);
    }
}

void dispatcher::record_unresponsive(milliseconds now, worker_view& w,
                                     call_result result)
{
    w.idle_pause_ms = 0;
    // Only where it has answered before does another process show that its own
    // one has ended: the address in its list entry may be wrong.
    bool const is_replaced = result == call_result::other_incarnation &&
                             !w.answered_address.empty() &&
                             w.renewal_address == w.answered_address;
    if (is_replaced)
    {
        w.replaced = true;
        confirm_losses(now, w.info.id, detail::any_incarnation);
        // It refuses orders to the earlier process, so no start can come late.
        if (!w.hosted_runs.empty())
            end_lost_runs(now, w, "another process answers at its address");
    }
    // At once after a time-out, as another process may have followed.
    schedule_renewal(w.info.id, w,
                     std::max(now, w.renewal_at + unresponsive_retry_ms));
    if (w.unresponsive_since >= 0)
        return;
    w.unresponsive_since = now;
    log_decision("worker.silent", "",
                 "worker=" + w.info.id + " result=" + to_text(result) +
                     " listed=" + (w.listed ? "1" : "0") +
                     " reached=" + (w.clock_at_ >= 0 ? "1" : "0") +
                     " runs=" + std::to_string(w.hosted_runs.size()) +
                     " earlier_leases_ms=" +
                     std::to_string(std::max<milliseconds>(
                         0, role_.earlier_leases_end() - now)));
}

/// Earlier dispatchers may have granted leases. A run that the worker lists
/// goes on at least until the next renewal.
void dispatcher::note_earlier_leases(worker_view& w,
                                     milliseconds clock_ms) const
{
    auto const left =
        std::max(role_.earlier_leases_end() - w.renewal_at, min_lease_ms);
    w.extend_lease(clock_ms + left);
}

/// From the answer with the newest token on, the worker refuses orders to
/// earlier processes. A time in such an order is on another clock, so that the
/// worker may have taken it for its longest lease.
void dispatcher::note_late_leases(milliseconds now, worker_view& w) const
{
    if (w.late_lease_until)
        return; // by the record of the dispatcher that fenced this process
    auto const unknown_order_at =
        std::max(unknown_orders_at_, role_.earlier_leases_end());
    auto const late_order_at =
        w.has_restarted()
            ? now
            : std::min(now, unknown_order_at + detail::late_order_ms);
    w.late_lease_until = late_order_at + longest_lease();
}

void dispatcher::record_answer(milliseconds now, worker_view& w,
                               renew_reply const& r)
{
    if (r.incarnation != 0 && w.info.incarnation != 0 &&
        r.incarnation != w.info.incarnation)
        start_incarnation(now, w, r.incarnation,
                          "another incarnation answered");
    if (r.incarnation != 0)
        w.info.incarnation = r.incarnation;
    confirm_losses(now, r.worker, w.info.incarnation);
    if (w.unresponsive_since >= 0)
        log_decision("worker.answers", "",
                     "worker=" + r.worker + " silent_ms=" +
                         std::to_string(now - w.unresponsive_since));
    bool const is_new_token = r.token == w.token && !w.token_known();
    bool const first = w.clock_at_ < 0;
    w.update_clock(now, r.clock_ms, w.renewal_at);
    if (first || is_new_token)
        note_earlier_leases(w, r.clock_ms);
    if (is_new_token)
    {
        note_late_leases(now, w);
        accept_token(now, w);
    }
    if (w.unresponsive_since >= 0)
        w.answers_since = now;
    w.unresponsive_since = -1;
    w.replaced = false;
    dismiss_losses(r.worker, w.info.incarnation);
    w.answered_at = now;
    w.answered_renewal_at = w.renewal_at;
    w.answered_address = w.renewal_address;
}

} // namespace jasminetrack::tasks
