#pragma once
/// \file
/// Controller of one region: places jobs, starts and stops gangs, monitors
/// workers.

#include <jasminetrack/core/events.hpp>
#include <jasminetrack/core/policy.hpp>

namespace jasminetrack::core
{

/// Leases, intervals and timeouts of ownership and tasks.
struct timing_settings
{
    milliseconds task_lease_ms = 6000;
    milliseconds renew_interval_ms = 2000; ///< orders to workers with tasks
    milliseconds settle_interval_ms = 100; ///< orders while tasks change phase
    milliseconds idle_poll_interval_ms = 5000; ///< orders to idle workers
    milliseconds grace_ms = 1000;           ///< of a stop for a guaranteed job
    milliseconds graceful_stop_ms = 30'000; ///< of a stop for an older job
    /// Longest wait for the first status of a placed task; other workers are
    /// tried then. The wait for accelerators that stops have to free may take
    /// two grace periods more.
    milliseconds prepare_timeout_ms = 800;
    /// An owner that has not read the log to its end for this long makes no new
    /// decisions.
    milliseconds owner_lease_ms = 3000;
    /// A peer without a heartbeat for this long counts as lost.
    milliseconds peer_timeout_ms = 1250;
    milliseconds retry_interval_ms = 1000; ///< between equal proposals
    milliseconds quarantine_ms = 60'000;   ///< duration of a quarantine

    friend bool operator==(timing_settings const&,
                           timing_settings const&) = default;
};

/// Controller of a region that this node owns. It writes all decisions to the
/// log; its own data can be rebuilt from the state and the workers' reports.
class region_owner
{
public:
    region_owner(std::string region, epoch_number epoch, milliseconds now,
                 timing_settings timing, policy_settings policy);

    [[nodiscard]] epoch_number epoch() const noexcept
    {
        return epoch_;
    }

    /// Replaces the platform's list of workers.
    void on_vm_list(std::vector<worker> const& listed);
    /// Processes a worker's answer to the last order.
    void on_report(milliseconds now, worker_report_event const& report);
    /// A record of this owner was rejected; a placement is retried soon.
    void on_record_rejected(milliseconds now, record const& body);
    /// The last order to a worker was not answered in time.
    void on_worker_timeout(milliseconds now, std::string const& worker_name);

    /// \param fresh     the log was read to its end recently, so that new
    ///                  decisions may be proposed
    /// \param may_renew no other node can own the region, so that task leases
    ///                  may be renewed
    /// \returns the proposals and orders that are due.
    [[nodiscard]] actions step(milliseconds now, cluster_state const& state,
                               bool fresh, bool may_renew);
    /// As step, limited to changes that a worker's report can cause.
    [[nodiscard]] actions step_worker(milliseconds now,
                                      cluster_state const& state, bool fresh,
                                      bool may_renew,
                                      std::string const& worker_name);

private:
    /// Orders to one worker and its answers.
    struct contact
    {
        milliseconds heard_ms = 0;            ///< last answer
        milliseconds in_flight_since_ms = -1; ///< of the last order; -1: none
        milliseconds sent_ms = 0;             ///< last order
        milliseconds unresponsive_since_ms = -1;
        milliseconds tasks_changed_ms = 0; ///< last change of desired tasks
        std::uint64_t revision = 0;        ///< of the ledger, at the last order
        bool unsettled = false; ///< a task is not in its desired phase
        std::uint64_t sequence = 0;
        std::uint64_t full_order_sequence = 0; ///< last order with a task list
        bool full_order_acknowledged = false;
        std::uint64_t known = 0; ///< digest of `reported`
        std::vector<task_order> last_tasks;
        std::map<std::string, task_status> reported;
        bool sent_once = false;
    };
    /// The last record proposed for a job.
    struct proposal
    {
        int attempt = 0;
        int change = -1; ///< job_change, or -1 for a placement
        milliseconds proposed_ms = 0;
    };

    /// Compares jobs with the reported statuses and proposes their next change.
    /// \param full_pass whether running jobs without a new report are included
    void reconcile_jobs(milliseconds now, cluster_state const& state,
                        bool full_pass, actions& out);
    void reconcile_dirty_jobs(milliseconds now, cluster_state const& state,
                              actions& out);
    void reconcile_job(milliseconds now, cluster_state const& state,
                       job const& j, actions& out);
    /// Drops data of jobs that are no longer placed, and old proposals.
    void erase_expired(milliseconds now, cluster_state const& state);
    [[nodiscard]] bool is_placement_due(milliseconds now,
                                        cluster_state const& state,
                                        bool full_pass) const;
    /// \returns the time between two orders to a worker.
    [[nodiscard]] milliseconds interval(milliseconds now,
                                        contact const& c) const noexcept;
    void reconcile_placed(milliseconds now, job const& j, actions& out);
    void reconcile_running(milliseconds now, job const& j, actions& out);
    void reconcile_stopping(milliseconds now, cluster_state const& state,
                            job const& j, actions& out);
    void place_jobs(milliseconds now, cluster_state const& state, actions& out);
    /// Proposes workers whose condition or description has changed.
    void propose_worker_changes(milliseconds now, cluster_state const& state,
                                actions& out);
    void send_orders(milliseconds now, cluster_state const& state,
                     bool full_pass, actions& out);
    void send_order_if_due(milliseconds now, cluster_state const& state,
                           worker const& w, contact& c, actions& out);
    /// \returns the lease of the tasks in an order to the worker.
    [[nodiscard]] milliseconds grantable_lease(milliseconds now,
                                               contact const& c) const noexcept;
    [[nodiscard]] static bool
    is_unsettled(contact const& c, std::vector<task_order> const& tasks);
    [[nodiscard]] std::optional<worker>
    next_worker_state(milliseconds now, cluster_state const& state,
                      worker const& listed);
    /// Whether a worker has been unresponsive for so long that the leases of
    /// all its tasks have expired.
    [[nodiscard]] bool is_lost(milliseconds now,
                               std::string const& worker_name) const;
    [[nodiscard]] bool is_unresponsive(std::string const& worker_name) const;
    [[nodiscard]] std::vector<task_order>
    wanted_tasks(cluster_state const& state, worker const& w) const;
    [[nodiscard]] task_status const* status_of(job const& j,
                                               std::size_t member) const;
    /// Proposes a change of a job, unless the same one was proposed recently.
    void propose(milliseconds now, job const& j, job_change change,
                 std::string detail, actions& out, std::string blamed = {},
                 bool clean = true);
    /// \returns workers that new placements do not use: unresponsive ones,
    /// those with an overdue answer, and those that delayed a placement
    /// recently.
    [[nodiscard]] std::set<std::string> avoided_workers(milliseconds now) const;

    std::string region_;
    epoch_number epoch_;
    milliseconds owned_since_ms_;
    timing_settings timing_;
    policy_settings policy_;
    std::uint64_t sequence_ = 0;
    std::map<std::string, worker> listed_;
    std::map<std::string, contact> contacts_;
    /// Pointers into listed_ and contacts_.
    std::vector<std::pair<worker const*, contact*>> listed_contacts_;
    std::set<job_id> dirty_jobs_; ///< reported statuses have changed
    bool workers_dirty_ = true;
    bool places_dirty_ = true;
    milliseconds placement_retry_ms_ = -1; ///< after a rejected placement
    milliseconds last_full_pass_ms_ = -1;
    std::uint64_t placed_revision_ = 0;  ///< of the ledger, last placement
    std::uint64_t ordered_revision_ = 0; ///< of the ledger, last orders
    std::map<job_id, proposal> proposals_;
    std::map<std::string, milliseconds> avoid_until_ms_;
    std::map<std::pair<job_id, int>, milliseconds> placed_since_ms_;
    milliseconds workers_proposed_ms_ = -1;
    std::vector<worker> proposed_workers_;
};

} // namespace jasminetrack::core
