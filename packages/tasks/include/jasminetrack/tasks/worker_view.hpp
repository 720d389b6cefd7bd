#pragma once
/// \file
/// What the dispatcher knows of one worker: its clock, its lease, what is on
/// it and how it did lately.

#include <jasminetrack/tasks/orders.hpp>
#include <jasminetrack/tasks/progress.hpp>
#include <jasminetrack/tasks/worker_pace.hpp>

#include <map>

namespace jasminetrack::tasks
{

/// Names a unit among all jobs.
struct unit_ref
{
    std::string job;
    unit_id unit;

    friend auto operator<=>(unit_ref const&, unit_ref const&) = default;
};

/// A run on a worker, as far as it takes room there.
struct hosted_run
{
    unit_ref unit;
    resources held;
    bool ending = false;           ///< stopped, or its unit's run is over
    milliseconds stop_sent = 0;    ///< newest; 0: never
    milliseconds ending_since = 0; ///< when it began to end
};

/// One worker. Times without a name of their own are the dispatcher's
/// monotonic clock.
class worker_view
{
public:
    worker_view() = default;
    explicit worker_view(worker_info listed_info) : info(std::move(listed_info))
    {
    }

    /// \returns the latest that the worker's clock can show for sure.
    [[nodiscard]] milliseconds clock_floor(milliseconds now) const noexcept;
    /// \returns whether the lease of all that runs there has expired.
    [[nodiscard]] bool is_lease_expired(milliseconds now) const noexcept;
    /// \returns room for starts now, given what is reserved.
    [[nodiscard]] resources free_capacity() const noexcept;
    /// \returns room once all that began to end after `since` has left; what
    /// takes longer may hold its room for as long as its lease.
    [[nodiscard]] resources
    capacity_after_stops(milliseconds since) const noexcept;
    /// \returns whether it knows this dispatcher and gave word lately.
    [[nodiscard]] bool answered_recently(milliseconds now) const noexcept;

    void update_clock(milliseconds now, milliseconds clock) noexcept;
    void extend_lease(milliseconds until) noexcept;
    void add(task_run const& run, hosted_run o);
    void remove(task_run const& run);
    /// The run leaves soon: its room will be free.
    void mark_ending(milliseconds now, task_run const& run);
    /// Forgets all that belonged to one life of the worker.
    void reset_for_incarnation(std::int64_t incarnation);

    worker_info info;
    bool listed = true;
    milliseconds draining_since = -1;
    bool token_known = false;       ///< it has seen this dispatcher's token
    bool runs_unknown_task = false; ///< runs a task whose needs are not known
    milliseconds answered_at = -1;
    milliseconds unresponsive_since = -1; ///< first unanswered call in a row

    bool renewal_sent = false; ///< a hold is under way
    milliseconds renewal_due = 0;
    std::int64_t last_seen = 0;     ///< ends whose consequences are in the log
    std::int64_t processed_end = 0; ///< ends whose consequences are known here
    std::int64_t processed_batch = 0; ///< batch that puts them into the log

    std::map<task_run, hosted_run> hosted_runs;
    resources reserved; ///< promised to units that wait for stops

    int failures = 0; ///< runs that failed there in a row, of any job
    std::string last_failed_job;
    milliseconds quarantined_until = 0;
    milliseconds last_success_at =
        -1; ///< newest end done, with no failure after it
    worker_pace pace;
    milliseconds last_unanswered_at = -1;  ///< newest order without an answer
    milliseconds starts_blocked_until = 0; ///< nothing is started before

private:
    resources used_;
    milliseconds clock_ms_ = 0;
    milliseconds clock_at_ = -1;
    milliseconds lease_until_ = 0; ///< on the worker's clock

    friend class dispatcher;
};

} // namespace jasminetrack::tasks
