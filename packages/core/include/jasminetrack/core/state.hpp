#pragma once
/// \file
/// State of the system, a deterministic state machine over the log: all nodes
/// that apply the same records have the same state. The only clock is that of
/// the log.

#include <jasminetrack/core/job.hpp>
#include <jasminetrack/core/ledger.hpp>
#include <jasminetrack/core/seat_plan.hpp>

#include <deque>
#include <set>

namespace jasminetrack::core
{

/// Owner of a region.
struct ownership
{
    std::string holder;
    std::string incarnation;
    epoch_number epoch = 0;

    friend bool operator==(ownership const&, ownership const&) = default;
};

/// Decision on a ticket.
struct ticket_verdict
{
    ticket_number number = 0;
    std::string author;
    log_offset offset = 0;
    bool accepted = false;
    std::vector<std::string> reasons; ///< why it was refused

    friend bool operator==(ticket_verdict const&,
                           ticket_verdict const&) = default;
};

/// Ticket and log offset of an object's current configuration.
struct object_version
{
    ticket_number number = 0;
    log_offset offset = 0;

    friend bool operator==(object_version const&,
                           object_version const&) = default;
};

/// State of a call that runs at most once, derived from the log.
struct call_state
{
    std::string team;
    std::string key;
    std::string service;
    std::string digest;
    std::string incarnation;
    milliseconds expires = 0;
    milliseconds began_ms = 0;
    bool ended = false;
    call_end end = call_end::unknown;
    int status = 0;
    std::string body;

    friend bool operator==(call_state const&, call_state const&) = default;
};

/// A change caused by a record, for the time line and waiting requests.
struct effect
{
    /// "job", "call", "ticket", "claim", "worker", "seat", "evacuation"
    std::string kind;
    std::string key;  ///< job id, team/key, ticket number, region, ...
    std::string text; ///< one sentence
};

/// Result of applying one record.
struct apply_result
{
    bool accepted = false;
    std::string reason; ///< why it was not accepted
    std::string id;     ///< key of its first effect, such as the job id
    std::vector<effect> effects;
};

/// Last record of a writer; records up to it are repeats.
struct writer_position
{
    std::uint64_t sequence = 0;
    milliseconds time = 0;

    friend bool operator==(writer_position const&,
                           writer_position const&) = default;
};

/// Mean run time of the finished jobs of a class.
struct job_class_statistics
{
    std::uint64_t finished = 0;
    milliseconds mean_run_ms = 0;

    friend bool operator==(job_class_statistics const&,
                           job_class_statistics const&) = default;
};

/// Failures of jobs on a worker.
struct worker_faults
{
    std::set<job_id> failed_jobs; ///< since the last success
    milliseconds quarantined_ms = 0;

    friend bool operator==(worker_faults const&,
                           worker_faults const&) = default;
};

/// The state after applying all records before `next`.
struct cluster_state
{
    log_offset next = 0; ///< offset of the next record to apply
    milliseconds log_time = 0;
    log_offset last_mark = 0; ///< 0: none yet
    milliseconds last_mark_ms = 0;
    configuration config;
    std::map<std::string, object_version> versions; ///< by object_key()
    std::deque<ticket_verdict> verdicts;            ///< newest last
    std::map<std::string, ownership> owners;
    std::map<std::string, worker> workers;
    std::map<std::string, worker_faults> faults;
    seat_map seats;
    evacuation_map evacuations;
    std::map<job_id, job> jobs;
    std::map<std::string, job_id> job_keys; ///< team/key -> job
    std::map<std::string, call_state> calls;
    std::map<std::string, writer_position> writers;
    std::map<std::string, job_class_statistics> history;
    capacity_ledger ledger; ///< derived from workers, jobs and evacuations

    friend bool operator==(cluster_state const&,
                           cluster_state const&) = default;
};

/// Applies one record to the state.
/// \returns whether it was accepted. A repeated record of a writer is dropped
/// with the reason "repeat".
apply_result apply(cluster_state& state, log_entry const& entry);

/// Rebuilds the derived members, such as after loading a snapshot.
void rebuild_derived(cluster_state& state);

/// \returns the names of the seats that guaranteed jobs use.
[[nodiscard]] std::map<std::string, bool>
seats_in_use(cluster_state const& state);

/// \returns the seats without places.
[[nodiscard]] std::vector<seat> broken_guarantees(cluster_state const& state);

/// \returns "team/key", the key of jobs and calls in the state.
[[nodiscard]] std::string request_key(std::string const& team,
                                      std::string const& key);

} // namespace jasminetrack::core
