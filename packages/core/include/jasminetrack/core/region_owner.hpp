#pragma once
/// \file
/// Acts for one region: places jobs, drives gangs, watches workers.

#include <jasminetrack/core/events.hpp>
#include <jasminetrack/core/policy.hpp>

namespace jasminetrack::core
{

/// Times that ownership and tasks live by.
struct timing_settings
{
    milliseconds task_lease_ms = 6000;
    milliseconds renew_interval_ms = 2000;     ///< for workers with tasks
    milliseconds settle_interval_ms = 100;     ///< while tasks change phase
    milliseconds idle_poll_interval_ms = 5000; ///< for idle workers
    milliseconds grace_ms = 1000;              ///< to stop for a guarantee
    milliseconds graceful_stop_ms = 30'000;    ///< to stop for an older job
    milliseconds prepare_timeout_ms = 800;     ///< then other workers are tried
    milliseconds owner_lease_ms = 3000;        ///< without log: stop acting
    milliseconds peer_timeout_ms = 1250;       ///< a silent peer is taken over
    milliseconds retry_interval_ms = 1000;     ///< before proposing again
    milliseconds quarantine_ms = 60'000;       ///< before a worker's trial

    friend bool operator==(timing_settings const&,
                           timing_settings const&) = default;
};

/// Controller of a region that this node owns. All that it decides goes
/// through the log; what it holds itself can be built anew from the state
/// and the workers' reports.
class region_owner
{
public:
    region_owner(std::string region, epoch_number epoch, milliseconds now,
                 timing_settings timing, policy_settings policy);

    [[nodiscard]] epoch_number epoch() const noexcept
    {
        return epoch_;
    }

    void on_vm_list(std::vector<worker> const& listed);
    void on_report(milliseconds now, worker_report_event const& report);
    /// The fold dropped a placement of this owner; it may try anew soon.
    void on_record_rejected(milliseconds now, record const& body);
    void on_worker_timeout(milliseconds now, std::string const& worker_name);

    /// \param fresh     the log was read to its end lately
    /// \param may_renew nobody else can own the region
    /// \returns proposals and orders that are due.
    [[nodiscard]] actions step(milliseconds now, cluster_state const& state,
                               bool fresh, bool may_renew);
    /// The same for what one worker's report can have changed.
    [[nodiscard]] actions step_worker(milliseconds now,
                                      cluster_state const& state, bool fresh,
                                      bool may_renew,
                                      std::string const& worker_name);

private:
    struct contact
    {
        milliseconds heard_ms = 0;  ///< last answer
        milliseconds asked_ms = -1; ///< order in flight since; -1: none
        milliseconds sent_ms = 0;
        milliseconds silent_since_ms = -1;
        milliseconds settled_ms = 0; ///< last change of the tasks wanted
        std::uint64_t revision = 0;  ///< of the ledger, behind the last order
        bool unsettled = false;      ///< a task is not yet as wanted
        std::uint64_t sequence = 0;
        std::uint64_t full_sequence = 0; ///< of the last order with its tasks
        bool full_taken = false;         ///< the worker has answered it
        std::uint64_t known = 0;         ///< digest of `reported`
        std::vector<task_order> last_tasks;
        std::map<std::string, task_status> reported;
        bool sent_once = false;
    };
    struct proposal
    {
        int attempt = 0;
        int change = -1; ///< job_change, or -1 for a placement
        milliseconds at = 0;
    };

    void drive_jobs(milliseconds now, cluster_state const& state, bool sweep,
                    actions& out);
    void drive_dirty_jobs(milliseconds now, cluster_state const& state,
                          actions& out);
    void drive_job(milliseconds now, cluster_state const& state, job const& j,
                   actions& out);
    void forget_old(milliseconds now, cluster_state const& state);
    [[nodiscard]] bool is_placement_due(milliseconds now,
                                        cluster_state const& state,
                                        bool sweep) const;
    [[nodiscard]] milliseconds interval(milliseconds now,
                                        contact const& c) const noexcept;
    void drive_placed(milliseconds now, job const& j, actions& out);
    void drive_running(milliseconds now, job const& j, actions& out);
    void drive_stopping(milliseconds now, cluster_state const& state,
                        job const& j, actions& out);
    void place_jobs(milliseconds now, cluster_state const& state, actions& out);
    void keep_workers(milliseconds now, cluster_state const& state,
                      actions& out);
    void send_orders(milliseconds now, cluster_state const& state, bool sweep,
                     actions& out);
    void order_worker(milliseconds now, cluster_state const& state,
                      worker const& w, contact& c, actions& out);
    [[nodiscard]] static bool
    is_unsettled(contact const& c, std::vector<task_order> const& tasks);
    [[nodiscard]] std::optional<worker>
    changed_worker(milliseconds now, cluster_state const& state,
                   worker const& listed);
    [[nodiscard]] bool is_lost(milliseconds now,
                               std::string const& worker_name) const;
    [[nodiscard]] bool is_silent(std::string const& worker_name) const;
    [[nodiscard]] std::vector<task_order>
    wanted_tasks(cluster_state const& state, worker const& w) const;
    [[nodiscard]] task_status const* status_of(job const& j,
                                               std::size_t member) const;
    void propose(milliseconds now, job const& j, job_change change,
                 std::string detail, actions& out, std::string blamed = {},
                 bool clean = true);
    [[nodiscard]] std::set<std::string>
    doubtful_workers(milliseconds now) const;

    std::string region_;
    epoch_number epoch_;
    milliseconds since_;
    timing_settings timing_;
    policy_settings policy_;
    std::uint64_t sequence_ = 0;
    std::map<std::string, worker> listed_;
    std::map<std::string, contact> contacts_;
    std::vector<std::pair<worker const*, contact*>> links_; ///< to listed_
    std::set<job_id> dirty_jobs_; ///< whose tasks were reported otherwise
    bool workers_dirty_ = true;
    bool places_dirty_ = true;
    milliseconds place_again_ms_ = -1; ///< after a dropped placement
    milliseconds swept_ms_ = -1;
    std::uint64_t placed_revision_ = 0; ///< of the ledger, last looked at
    std::uint64_t ordered_revision_ = 0;
    std::map<job_id, proposal> proposals_;
    std::map<std::string, milliseconds> avoid_until_;
    std::map<std::pair<job_id, int>, milliseconds> placed_since_;
    milliseconds workers_proposed_ = -1;
    std::vector<worker> workers_told_;
};

} // namespace jasminetrack::core
