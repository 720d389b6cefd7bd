#pragma once
/// \file
/// What goes into a node and what comes out of it.

#include <jasminetrack/core/state.hpp>

namespace jasminetrack::core
{

/// What a worker is asked to make of a task.
enum class desired_phase : std::uint8_t
{
    prepared, ///< take the accelerators, load, do not start
    running,
    stopped, ///< checkpoint within the grace time, then end
};

/// What a worker says of a task.
enum class task_phase : std::uint8_t
{
    absent,  ///< not known there
    pending, ///< waits until its accelerators are free
    prepared,
    running,
    stopping,
    stopped, ///< ended with a checkpoint
    killed,  ///< ended without one
    done,
    failed,
};

/// One task on one worker, as the owner of the region wants it.
struct task_order
{
    std::string task; ///< job.attempt.member
    desired_phase wish = desired_phase::prepared;
    accelerator_range place;
    std::string payload;
    milliseconds grace_ms = 0; ///< time to checkpoint when stopped

    friend bool operator==(task_order const&, task_order const&) = default;
};

/// All tasks that a worker shall have; it ends every other one. A worker
/// refuses an order with a lower (epoch, sequence) than one it took.
struct worker_order
{
    std::string region;
    epoch_number epoch = 0;
    std::uint64_t sequence = 0;
    milliseconds lease_ms = 0; ///< tasks end when no order renews it
    std::uint64_t same_as = 0; ///< the tasks are those of this order; 0: not
    std::uint64_t known = 0;   ///< digest of the statuses known here
    std::vector<task_order> tasks;

    friend bool operator==(worker_order const&, worker_order const&) = default;
};

struct task_status
{
    std::string task;
    task_phase phase = task_phase::absent;
    std::string detail; ///< result, checkpoint or reason

    friend bool operator==(task_status const&, task_status const&) = default;
};

// Events -----------------------------------------------------------------

/// Time goes on; sent every few tens of milliseconds.
struct tick_event
{
};

/// Records in log order, from the log or from a peer that has read it.
struct log_entries_event
{
    std::vector<log_entry> entries;
};

/// The log was read to its end; directly or by way of a peer.
struct log_caught_up_event
{
    log_offset end = 0;            ///< offset after the last record
    milliseconds requested_ms = 0; ///< when the answer was asked for
};

/// A peer's heartbeat.
struct peer_event
{
    std::string node;
    std::string incarnation;
    std::string region;
    milliseconds log_age_ms = 0; ///< since it last had contact to the log
    bool draining = false;
};

/// The platform's list of workers; it lags.
struct vm_list_event
{
    std::vector<worker> workers;
};

/// A worker's answer to an order.
struct worker_report_event
{
    std::string worker;
    bool refused = false; ///< it obeys a higher epoch
    bool resend = false;  ///< it lacks the order that `same_as` names
    bool same = false;    ///< the statuses are those known to the owner
    std::uint64_t sequence = 0;
    std::vector<task_status> tasks;
};

/// A worker gave no answer in time.
struct worker_timeout_event
{
    std::string worker;
};

/// The node shall hand over what it owns.
struct drain_event
{
};

using event = std::variant<tick_event, log_entries_event, log_caught_up_event,
                           peer_event, vm_list_event, worker_report_event,
                           worker_timeout_event, drain_event>;

// Actions ----------------------------------------------------------------

/// Write this record to the log.
struct append_action
{
    record body;
};

/// Send this order; answer with a report or a silence.
struct order_action
{
    std::string worker;
    std::string address;
    worker_order order;
};

/// A record was applied; waiters and the time line want to know.
struct record_applied_action
{
    log_offset offset = 0;
    std::string writer;
    std::uint64_t sequence = 0;
    apply_result outcome;
};

using action = std::variant<append_action, order_action, record_applied_action>;
using actions = std::vector<action>;

/// \returns a digest of statuses, to see whether anything changed.
[[nodiscard]] std::uint64_t
digest_of(std::vector<task_status> const& statuses) noexcept;

/// \returns "job.attempt.member", the name of a gang member's task.
[[nodiscard]] std::string task_name(job const& j, std::size_t member);

} // namespace jasminetrack::core
