#pragma once
/// \file
/// Events, the input of a node, and actions, its output.

#include <jasminetrack/core/state.hpp>

namespace jasminetrack::core
{

/// Phase that a worker shall bring a task to.
enum class desired_phase : std::uint8_t
{
    prepared, ///< accelerators allocated and payload loaded, not started
    running,
    stopped, ///< ended, with a checkpoint if it fits the grace period
};

/// Phase of a task as reported by its worker.
enum class task_phase : std::uint8_t
{
    absent,  ///< unknown to the worker
    pending, ///< waits until its accelerators are free
    prepared,
    running,
    stopping,
    stopped, ///< ended with a checkpoint
    killed,  ///< ended without a checkpoint
    done,
    failed,
};

/// Desired state of one task on one worker, set by the owner of the region.
struct task_order
{
    std::string task; ///< job.attempt.member
    desired_phase wish = desired_phase::prepared;
    accelerator_range place;
    std::string payload;
    milliseconds grace_ms = 0; ///< grace period for a checkpoint at a stop

    friend bool operator==(task_order const&, task_order const&) = default;
};

/// The complete list of tasks that a worker shall have; it ends all others. A
/// worker refuses an order whose (epoch, sequence) is lower than that of one
/// it has accepted.
struct worker_order
{
    std::string region;
    epoch_number epoch = 0;
    std::uint64_t sequence = 0;
    milliseconds lease_ms = 0; ///< tasks end if no order renews it in time
    /// Sequence of an earlier order with the same tasks; `tasks` is empty
    /// then. 0: `tasks` is the list.
    std::uint64_t same_as = 0;
    std::uint64_t known = 0; ///< digest of the statuses known to the owner
    std::vector<task_order> tasks;

    friend bool operator==(worker_order const&, worker_order const&) = default;
};

/// Status of one task in a worker's report.
struct task_status
{
    std::string task;
    task_phase phase = task_phase::absent;
    std::string detail; ///< result, checkpoint or reason

    friend bool operator==(task_status const&, task_status const&) = default;
};

// Events -----------------------------------------------------------------

/// Passage of time; sent every few tens of milliseconds.
struct tick_event
{
};

/// Records in log order, read from the log or relayed by a peer.
struct log_entries_event
{
    std::vector<log_entry> entries;
};

/// The log was read to its end, directly or through a peer.
struct log_caught_up_event
{
    log_offset end = 0;            ///< offset after the last record
    milliseconds requested_ms = 0; ///< when the request was sent
};

/// Heartbeat of a peer.
struct peer_event
{
    std::string node;
    std::string incarnation;
    std::string region;
    milliseconds log_age_ms = 0; ///< since it last read the log to its end
    bool draining = false;
};

/// The platform's list of VMs. It lags behind the actual state.
struct vm_list_event
{
    std::vector<worker> workers;
    std::set<std::string> entries; ///< names of the entry VMs
};

/// Answer of a worker to an order.
struct worker_report_event
{
    std::string worker;
    bool refused = false; ///< it has accepted a newer order
    bool resend = false;  ///< it does not have the order in `same_as`
    bool same = false;    ///< statuses unchanged; `tasks` is empty
    std::uint64_t sequence = 0;
    std::vector<task_status> tasks;
};

/// A worker did not answer an order within the timeout.
struct worker_timeout_event
{
    std::string worker;
};

/// The node shall release the regions that it owns.
struct drain_event
{
};

using event = std::variant<tick_event, log_entries_event, log_caught_up_event,
                           peer_event, vm_list_event, worker_report_event,
                           worker_timeout_event, drain_event>;

// Actions ----------------------------------------------------------------

/// Append this record to the log.
struct append_action
{
    record body;
};

/// Send this order; a worker_report_event or a worker_timeout_event follows.
struct order_action
{
    std::string worker;
    std::string address;
    worker_order order;
};

/// A record was applied; notifies waiting requests and the time line.
struct record_applied_action
{
    log_offset offset = 0;
    std::string writer;
    std::uint64_t sequence = 0;
    apply_result outcome;
};

using action = std::variant<append_action, order_action, record_applied_action>;
using actions = std::vector<action>;

/// \returns a digest of the statuses, used to detect changes.
[[nodiscard]] std::uint64_t
digest_of(std::vector<task_status> const& statuses) noexcept;

/// \returns "job.attempt.member", the name of a gang member's task.
[[nodiscard]] std::string task_name(job const& j, std::size_t member);

} // namespace jasminetrack::core
