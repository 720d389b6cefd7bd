#pragma once
/// \file
/// Records of the platform's log. Their order in the log decides conflicts: all
/// nodes drop a record that refers to outdated state in the same way.

#include <jasminetrack/core/config.hpp>
#include <jasminetrack/core/inventory.hpp>

#include <string>
#include <variant>
#include <vector>

namespace jasminetrack::core
{

using job_id = std::string;
using epoch_number = std::uint64_t; ///< offset of the ownership claim

/// A change of the configuration; accepted or refused when it is applied.
struct ticket_record
{
    ticket change;
};

/// A node claims or releases a region. Dropped unless `previous` is the current
/// epoch of the region.
struct claim_record
{
    std::string region;
    std::string holder;        ///< node name; empty: released
    std::string incarnation;   ///< of the holder's process
    epoch_number previous = 0; ///< epoch known to the writer; 0: none yet
};

/// New or changed workers, written by the owner of their region.
struct workers_record
{
    std::string region;
    epoch_number epoch = 0;
    std::vector<worker> changed;
};

/// A job submitted by a caller.
struct submit_record
{
    std::string team;
    std::string key; ///< set by the caller; equal keys name the same job
    std::string job_class;
    std::string payload;
    milliseconds run_hint_ms = 0; ///< declared run time; not used
};

/// Cancellation of a job by its caller.
struct cancel_record
{
    job_id job;
};

/// Places for all members of a job, and the jobs to preempt for it.
struct place_record
{
    job_id job;
    epoch_number epoch = 0;
    assignment places;
    std::string seat;            ///< guaranteed seat used; empty: spare work
    assignment seat_places;      ///< new places of the seat
    std::vector<job_id> victims; ///< jobs to preempt
};

/// Change of a placed or running job.
enum class job_change : std::uint8_t
{
    withdrawn, ///< not started; goes back to the queue
    started,   ///< all members are prepared and shall start
    stopping,  ///< a member was lost; the others are being stopped
    stopped,   ///< no member runs; goes back to the queue
    done,      ///< finished, with its result
    failed,    ///< a member failed with an error
};

/// A change of one attempt of a job, written by the region's owner.
struct job_record
{
    job_id job;
    epoch_number epoch = 0;
    int attempt = 0;
    job_change change = job_change::withdrawn;
    std::string detail; ///< result or reason
    std::string blamed; ///< worker on which it failed; may be empty
    bool clean = true;  ///< for stopped: all members wrote a checkpoint
};

/// A call that must run at most once; recorded before it is sent.
struct call_record
{
    std::string team;
    std::string key;
    std::string service;
    std::string digest;       ///< of the request's body
    std::string incarnation;  ///< of the node that will send it
    milliseconds expires = 0; ///< log time after which it is not sent
};

/// How a call ended.
enum class call_end : std::uint8_t
{
    done,    ///< the target answered completely
    not_run, ///< refused; no target ran it
    unknown, ///< it may have run
};

/// Result of a call, written by the node that sent it.
struct call_result_record
{
    std::string team;
    std::string key;
    call_end end = call_end::unknown;
    int status = 0; ///< HTTP status of the target's answer
    std::string body;
};

/// Marks the position at which all nodes compute a digest of their state.
struct mark_record
{
};

/// Digest of the state of one node at a mark. The most frequent digest of a
/// mark is taken as correct.
struct digest_record
{
    log_offset mark = 0;
    std::string digest;
};

/// One part of a snapshot of the state at a mark.
struct snapshot_record
{
    log_offset mark = 0; ///< offset of the mark
    std::uint32_t index = 0;
    std::uint32_t count = 0;
    std::string digest; ///< of the whole snapshot
    std::string data;   ///< CBOR
};

/// An operator evacuates a data center or restores it to service. Refused if
/// no worker is in the data center, or if no other one would be in service.
struct evacuate_record
{
    std::string data_center;
    bool evacuated = true;  ///< false: restored
    bool move_seats = true; ///< whether unused seats there move elsewhere
};

/// A record of a newer program version; older versions skip it.
struct unknown_record
{
    std::string kind;
};

using record =
    std::variant<ticket_record, claim_record, workers_record, submit_record,
                 cancel_record, place_record, job_record, call_record,
                 call_result_record, mark_record, digest_record,
                 snapshot_record, evacuate_record, unknown_record>;

/// A record with its position in the log.
struct log_entry
{
    log_offset offset = 0;
    milliseconds time = 0; ///< the log's clock, ms since 1970
    std::string writer;    ///< incarnation of the process that wrote it
    std::uint64_t sequence = 0;
    record body;
};

} // namespace jasminetrack::core
