#pragma once
/// \file
/// State that the dispatcher keeps of jobs, runs and the current scheduling
/// pass. Times are on the dispatcher's monotonic clock unless a comment names
/// another one.

#include <jasminetrack/tasks/chosen_wait.hpp>
#include <jasminetrack/tasks/placement.hpp>
#include <jasminetrack/tasks/queue_order.hpp>
#include <jasminetrack/tasks/worker_view.hpp>

#include <limits>
#include <map>
#include <set>

namespace jasminetrack::tasks::detail
{

enum class member_phase : std::uint8_t
{
    recorded, ///< its start waits until the log has the placement
    starting, ///< its start was sent and is not answered yet
    /// The start got no answer; the next renewal shows whether it runs.
    unconfirmed,
    /// Placed by an earlier dispatcher; the next renewal shows whether it
    /// runs.
    adopted,
    running,
    /// No longer on its worker, but a later incarnation there may still carry
    /// out a start, so the unit is not placed again yet.
    awaiting_late_start,
    released, ///< no longer on its worker
};

[[nodiscard]] constexpr bool is_unconfirmed(member_phase p) noexcept
{
    return p == member_phase::starting || p == member_phase::unconfirmed;
}

/// An order without an answer may still be carried out within this time.
inline constexpr milliseconds late_order_ms = 13'000;

/// Later than the start of every worker's process.
inline constexpr std::int64_t any_incarnation =
    std::numeric_limits<std::int64_t>::max();

/// One task of a run: the only one, or a member of a gang.
struct member
{
    std::string worker;
    member_phase phase = member_phase::recorded;
    /// Time on the worker's clock after which it refuses the start.
    milliseconds until_ms = 0;
    /// Time on the worker's clock when it confirmed the start.
    milliseconds started_ms = 0;
    milliseconds sent_at = 0;      ///< first send of the start
    milliseconds last_sent_at = 0; ///< latest send, retries included
    /// Latest send that got no answer and may be carried out; -1: none.
    milliseconds unanswered_at = -1;
    /// When an earlier dispatcher, whose answers are not known, sent its start
    /// at the latest; -1: this one has placed it.
    milliseconds sent_before = -1;
    milliseconds reported_at = -1;       ///< when it was last listed as running
    milliseconds first_reported_at = -1; ///< when it was first
    std::int64_t percent = 0;            ///< done, as the worker reports it
    std::int64_t first_percent = 0;      ///< at `first_reported_at`
    milliseconds progress_at = 0;        ///< when `percent` last rose
    run_progress progress;
};

/// \returns until when a start without an answer may be carried out; 0 if all
/// were answered.
[[nodiscard]] inline milliseconds late_start_end(member const& m) noexcept
{
    auto const sent_at =
        m.phase == member_phase::starting ? m.last_sent_at : m.unanswered_at;
    return sent_at < 0 ? 0 : sent_at + late_order_ms;
}

/// No send of the start can be carried out any more.
inline void drop_unanswered(member& m) noexcept
{
    m.unanswered_at = -1;
    m.sent_before = -1;
}

/// A run that its worker still reports this long after its start has not
/// crashed the worker by being started.
inline constexpr milliseconds established_ms = 1'000;

[[nodiscard]] inline bool is_established(member const& m) noexcept
{
    auto const since = m.sent_at > 0 ? m.sent_at : m.first_reported_at;
    return m.reported_at >= 0 && m.reported_at - since >= established_ms;
}

/// A task that crashes its worker by its start does so within this time.
inline constexpr milliseconds proven_ms = 1'600;

[[nodiscard]] inline bool is_proven(member const& m) noexcept
{
    return m.first_reported_at >= 0 &&
           m.reported_at - m.first_reported_at >= proven_ms;
}

/// The newest run of a unit, kept while any member may be on a worker.
struct active_run
{
    std::int64_t run = 0;
    std::vector<member> members;
    bool over = false;    ///< ended, or its members are being stopped
    bool counted = false; ///< its failure counts against the attempts
    /// What a loss counts as while a member is not established.
    crash_exposure fresh_exposure = crash_exposure::starting;
    std::int64_t batch = 0; ///< log batch that records its places
    milliseconds placed_at = 0;
    milliseconds first_sent = 0; ///< when starts were sent; 0: not yet
    std::size_t number = 0;      ///< identifies it in reclaim plans
};

/// Starts of a unit that the newest process of their worker refuses, but that a
/// later one may carry out before it is reached. The unit runs in the same
/// places meanwhile: a further restart then ends that run as well.
struct late_sends
{
    std::vector<std::string> places; ///< workers by member
    /// When the start of a member can no longer arrive.
    std::map<std::size_t, milliseconds> until;
};

/// A job that is not finished, or whose end is not stored yet.
struct job_entry
{
    accepted_job job;
    job_progress progress;
    std::int64_t priority = 0;
    std::string service;       ///< empty if its terms are not known
    milliseconds known_at = 0; ///< when this dispatcher received it
    milliseconds objective_ms = 0;
    /// Longest chain of estimated work from each step to the job's end.
    std::vector<milliseconds> critical_paths;
    std::int64_t waiting = 0;    ///< number of units in phase waiting
    std::int64_t unfinished = 0; ///< number of units that are not done
    std::map<unit_ref, std::set<std::string>> failed_on; ///< workers
    std::map<unit_ref, milliseconds> failed_at;          ///< latest failure
    std::map<unit_ref, milliseconds> lost_at;   ///< latest loss of a worker
    std::map<unit_ref, late_sends> late_starts; ///< of units that run again
    std::map<std::int64_t, step_durations> durations; ///< by step
    /// For how long the service has been idle for units that wait, by
    /// occurrence and step.
    std::map<std::pair<std::int64_t, std::int64_t>, idle_time> idle_times;
};

/// Workers reserved for a unit until the stops that free them complete.
struct reservation
{
    std::vector<std::string> places;
    milliseconds since = 0; ///< when the stops were sent
};

/// Workers on which nothing is started, so that a unit can start alone there.
struct clearance
{
    std::vector<std::string> places;
    milliseconds since = 0;
};

/// The waiting units of one step; all have the same needs.
struct waiting_units
{
    job_entry* entry = nullptr;
    std::int64_t occurrence = 0;
    std::int64_t step = 0;
    std::vector<std::int64_t> indices;
    ordering_key key;
};

/// The candidates of a service and priority, sorted by id. The entries of
/// an earlier pass are kept, as their strings need no memory anew.
struct candidate_list
{
    std::vector<worker_candidate> workers;
    bool current = false;        ///< made in this pass
    bool starting_known = false; ///< which of them are starting runs
};

/// Accelerators of a service at the start of a scheduling pass.
struct accelerator_count
{
    std::int64_t capacity = 0;
    std::int64_t free = 0;
    std::int64_t urgent = 0;      ///< held or reserved
    std::int64_t lent = 0;        ///< of runs that are not being stopped
    std::int64_t least_share = 0; ///< of each lower priority
    std::int64_t workers = 0;     ///< listed
    /// Of these, cleared or with suspected runs that are being started.
    std::int64_t isolating = 0;
    std::map<std::int64_t, std::int64_t> held; ///< by priority
    service_load load;
};

} // namespace jasminetrack::tasks::detail
