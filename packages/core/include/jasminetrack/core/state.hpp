#pragma once
/// \file
/// The state of the system as a fold over the log. Equal records give equal
/// state on every node; there is no clock but the log's.

#include <jasminetrack/core/job.hpp>
#include <jasminetrack/core/ledger.hpp>
#include <jasminetrack/core/seat_plan.hpp>

#include <deque>
#include <set>

namespace jasminetrack::core
{

/// Who acts for a region.
struct ownership
{
    std::string holder;
    std::string incarnation;
    epoch_number epoch = 0;

    friend bool operator==(ownership const&, ownership const&) = default;
};

/// What became of a ticket.
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

/// The number under which an object's state is in force.
struct object_version
{
    ticket_number number = 0;
    log_offset offset = 0;

    friend bool operator==(object_version const&,
                           object_version const&) = default;
};

/// A call that runs at most once, as the log tells it.
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

/// What a record changed; the time line and waiters are told by it.
struct effect
{
    std::string kind; ///< "job", "call", "ticket", "claim", "worker", "seat"
    std::string key;  ///< job id, team/key, ticket number, region, ...
    std::string text; ///< one sentence
};

/// What the fold made of one record.
struct apply_result
{
    bool accepted = false;
    std::string reason; ///< why not
    std::string id;     ///< of the job it made or found
    std::vector<effect> effects;
};

/// The last record seen of a writer; older ones are repeats.
struct writer_position
{
    std::uint64_t sequence = 0;
    milliseconds time = 0;

    friend bool operator==(writer_position const&,
                           writer_position const&) = default;
};

/// How long a class of jobs runs, learned from those that finished.
struct job_class_statistics
{
    std::uint64_t finished = 0;
    milliseconds mean_run_ms = 0;

    friend bool operator==(job_class_statistics const&,
                           job_class_statistics const&) = default;
};

/// A worker's record of failed starts.
struct worker_faults
{
    std::set<job_id> failed_jobs; ///< since the last success
    milliseconds quarantined_ms = 0;

    friend bool operator==(worker_faults const&,
                           worker_faults const&) = default;
};

/// All that the log says, up to `applied`.
struct cluster_state
{
    log_offset next = 0; ///< offset of the next record to apply
    milliseconds log_time = 0;
    log_offset last_mark = 0; ///< 0: none yet
    milliseconds last_mark_ms = 0;
    configuration config;
    std::map<std::string, object_version> versions;
    std::deque<ticket_verdict> verdicts; ///< newest last
    std::map<std::string, ownership> owners;
    std::map<std::string, worker> workers;
    std::map<std::string, worker_faults> faults;
    seat_map seats;
    std::map<job_id, job> jobs;
    std::map<std::string, job_id> job_keys; ///< team/key -> job
    std::map<std::string, call_state> calls;
    std::map<std::string, writer_position> writers;
    std::map<std::string, job_class_statistics> history;
    capacity_ledger ledger; ///< derived

    friend bool operator==(cluster_state const&,
                           cluster_state const&) = default;
};

/// Applies one record.
/// \remarks A repeated record of a writer is dropped: `accepted` is false and
/// the reason is "repeat".
apply_result apply(cluster_state& state, log_entry const& entry);

/// Makes the derived parts anew, after a snapshot was read.
void rebuild_derived(cluster_state& state);

/// \returns names of seats that hold guaranteed work.
[[nodiscard]] std::map<std::string, bool>
seats_in_use(cluster_state const& state);

/// \returns the seats that no places could be found for.
[[nodiscard]] std::vector<seat> broken_guarantees(cluster_state const& state);

/// \returns "team/key", under which jobs and calls are found again.
[[nodiscard]] std::string request_key(std::string const& team,
                                      std::string const& key);

} // namespace jasminetrack::core
