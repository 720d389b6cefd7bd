#pragma once
/// \file
/// The dispatcher's view of one worker: its clock, its lease, the runs on it
/// and its recent results.

#include <jasminetrack/tasks/hold_reason.hpp>
#include <jasminetrack/tasks/orders.hpp>
#include <jasminetrack/tasks/progress.hpp>
#include <jasminetrack/tasks/worker_pace.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace jasminetrack::tasks
{

/// Identifies a unit among all jobs.
struct unit_ref
{
    std::string job;
    unit_id unit;

    friend auto operator<=>(unit_ref const&, unit_ref const&) = default;
};

/// A run that occupies capacity of a worker.
struct hosted_run
{
    unit_ref unit;
    resources held;
    bool ending = false;           ///< is being stopped, or its run is over
    milliseconds stop_sent = 0;    ///< latest stop order; 0: none
    milliseconds ending_since = 0; ///< when `ending` was set
    /// Nothing may be started beside it but other suspects, in the same pass.
    bool isolated = false;
    /// Other workers are preferred for starts until it ends.
    bool vulnerable = false;
    /// Its start may be carried out at a later incarnation of the worker until
    /// then.
    milliseconds late_start_until = 0;
    bool lent = false; ///< was started within the headroom for urgent work
};

/// A start of a run that has ended. Another send of it, by this dispatcher or
/// an earlier one, may still be carried out by a later incarnation of the
/// worker.
struct late_start
{
    unit_ref unit;
    milliseconds until = 0; ///< it cannot arrive from then on

    friend bool operator==(late_start const&, late_start const&) = default;
};

/// One worker. Times are on the dispatcher's monotonic clock unless their
/// comment names the worker's clock.
class worker_view
{
public:
    worker_view() = default;
    explicit worker_view(worker_info listed_info) : info(std::move(listed_info))
    {
    }

    /// \returns a lower bound of the worker's clock, allowing for clock drift.
    [[nodiscard]] milliseconds clock_floor(milliseconds now) const noexcept;
    /// \returns whether its process may have given this reading of its clock
    /// between `since` and `now`; else another process gave it.
    [[nodiscard]] bool may_read(milliseconds clock, milliseconds since,
                                milliseconds now) const noexcept;
    /// \returns whether the worker's lease has certainly expired, so that it
    /// has ended all its runs.
    [[nodiscard]] bool is_lease_expired(milliseconds now) const noexcept;
    /// \returns whether its list entry, with its capacity, may be that of an
    /// earlier incarnation.
    [[nodiscard]] bool has_outdated_entry() const noexcept
    {
        return listed_incarnation < info.incarnation ||
               has_ended(listed_incarnation);
    }
    /// \returns whether another incarnation has followed this one. It may be
    /// the lower one of the two if the wall clock was set back in between.
    [[nodiscard]] bool has_ended(std::int64_t incarnation) const noexcept
    {
        return ended_incarnations_.count(incarnation) != 0;
    }
    /// \returns whether an earlier incarnation is known.
    [[nodiscard]] bool has_restarted() const noexcept
    {
        return !ended_incarnations_.empty();
    }
    /// \returns what its runs occupy, those that are being stopped included.
    [[nodiscard]] resources const& used() const noexcept
    {
        return used_;
    }
    /// \returns the capacity that is neither used nor reserved.
    [[nodiscard]] resources free_capacity() const noexcept;
    /// \returns whether its runs need more than its capacity, which may have
    /// shrunk.
    [[nodiscard]] bool is_over_capacity() const noexcept
    {
        return !fits(used_, info.capacity);
    }
    /// \returns the free capacity after all runs that began to end after
    /// `since` have ended. Runs that have been ending for longer are not
    /// counted, as they may keep their capacity until the lease expires.
    [[nodiscard]] resources
    capacity_after_stops(milliseconds since) const noexcept;
    /// \returns whether the platform and the operators allow new work on it,
    /// so that its capacity counts as the service's.
    [[nodiscard]] bool takes_new_work() const noexcept
    {
        return listed && !info.draining && !evacuated;
    }
    /// \returns whether its process has accepted the newest token, so that it
    /// refuses the orders of earlier dispatchers and those to earlier
    /// processes.
    [[nodiscard]] bool token_known() const noexcept
    {
        return accepted_token == token;
    }
    /// \returns whether orders to an earlier process may still be carried out.
    [[nodiscard]] bool may_get_late_orders() const noexcept
    {
        return has_restarted() && !token_known();
    }
    /// \returns whether it reported that it is slow after its start.
    [[nodiscard]] bool is_cold(milliseconds now) const noexcept
    {
        return now < cold_until;
    }
    /// \returns whether the worker has answered this dispatcher recently.
    [[nodiscard]] bool answered_recently(milliseconds now) const noexcept;
    /// \returns why its entry or its answers allow no starts now; nothing if
    /// they do.
    [[nodiscard]] std::optional<unfit_reason>
    refusal(milliseconds now) const noexcept;
    /// \returns whether its entry and its answers allow starts now.
    [[nodiscard]] bool accepts_starts(milliseconds now) const noexcept
    {
        return !refusal(now);
    }
    /// \returns whether an order that may be carried out until then may follow
    /// the newest renewal with an answer.
    [[nodiscard]] bool may_follow_answer(milliseconds until) const noexcept
    {
        return until > std::max<milliseconds>(0, answered_renewal_at);
    }
    /// \returns the time until the next late start can no longer arrive, from
    /// when on a renewal shows whether it was carried out.
    [[nodiscard]] milliseconds late_start_wait(milliseconds now) const noexcept;
    /// \returns whether it hosts a run beside which nothing may be started.
    [[nodiscard]] bool hosts_isolated_run() const noexcept
    {
        return isolated_runs_ > 0;
    }
    [[nodiscard]] bool hosts_vulnerable_run() const noexcept
    {
        return vulnerable_runs_ > 0;
    }

    /// \param clock  as reported by the worker; ignored if outdated
    /// \param asked_at  when the call with this answer was sent
    void update_clock(milliseconds now, milliseconds clock,
                      milliseconds asked_at) noexcept;
    /// \param until  on the worker's clock
    void extend_lease(milliseconds until) noexcept;
    void add(task_run const& run, hosted_run o);
    void remove(task_run const& run);
    /// Other runs may be started beside this one from now on.
    void end_isolation(hosted_run& o) noexcept;
    /// Forgets the late starts that can no longer arrive. A listed worker must
    /// have answered since, as only that shows what they have started.
    void drop_late_starts(milliseconds now);
    /// Marks that the run will end soon and release its capacity.
    void mark_ending(milliseconds now, task_run const& run);
    /// Resets all state that belongs to one incarnation of the worker.
    void reset_for_incarnation(std::int64_t incarnation);

    worker_info info;
    /// Incarnation that the list entry describes; 0: it does not say.
    std::int64_t listed_incarnation = 0;
    bool listed = true;
    /// Time since which it is no longer listed; -1: it is listed.
    milliseconds unlisted_since = -1;
    /// Earliest time at which a draining worker leaves; -1: not known.
    milliseconds leaves_at = -1;
    bool evacuated = false;      ///< its data center is
    milliseconds cold_until = 0; ///< it is slow until then
    std::int64_t token = 0;      ///< of all orders to its newest process
    /// Highest token that this process has accepted; 0: none.
    std::int64_t accepted_token = 0;
    /// It runs a task of an unknown job, so its free capacity is not known.
    bool runs_unknown_task = false;
    milliseconds answered_at = -1; ///< latest answer to a renewal
    /// When the renewal with that answer was sent. The worker may have
    /// restarted since.
    milliseconds answered_renewal_at = -1;
    /// Where this incarnation has answered; empty: it has not.
    std::string answered_address;
    /// Time of the first renewal that failed since the last answer; -1: none.
    milliseconds unresponsive_since = -1;
    /// When it answered again after renewals that had failed.
    milliseconds answers_since = 0;
    /// Another process is at its address, so its own process has ended.
    bool replaced = false;

    bool renewal_sent = false;   ///< a renewal awaits its answer
    milliseconds renewal_at = 0; ///< when the latest one was sent
    std::string renewal_address; ///< where it was sent
    /// Pause before the next renewal, while the worker hosts no run.
    milliseconds idle_pause_ms = 0;
    std::int64_t last_seen = 0;     ///< newest end whose effects are in the log
    std::int64_t processed_end = 0; ///< newest end that was processed
    std::int64_t processed_batch = 0; ///< log batch with its effects

    std::map<task_run, hosted_run> hosted_runs;
    std::map<task_run, late_start> late_starts;
    resources reserved; ///< for units that wait for stops

    /// Failures since the last completed run; consecutive ones of one job count
    /// once.
    int failures = 0;
    std::string last_failed_job;
    milliseconds quarantined_until = 0;
    /// Time of the latest completed run; -1 if none, or if a run failed since.
    milliseconds last_success_at = -1;
    worker_pace pace;
    /// Late starts may run at an incarnation that has not answered until then.
    milliseconds late_runs_until = 0;
    /// Until when leases of its process may last that orders to earlier
    /// processes have set; nothing: not known.
    std::optional<milliseconds> late_lease_until;

private:
    resources used_;
    std::int64_t isolated_runs_ = 0;
    std::int64_t vulnerable_runs_ = 0;
    std::set<std::int64_t> ended_incarnations_;
    milliseconds clock_ms_ = 0;
    milliseconds clock_at_ = -1;
    milliseconds clock_asked_at_ = -1;
    milliseconds lease_until_ = 0; ///< on the worker's clock

    friend class dispatcher;
};

} // namespace jasminetrack::tasks
