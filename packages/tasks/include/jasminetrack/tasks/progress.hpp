#pragma once
/// \file
/// Progress of a job, and its encoding in the log. A unit is the smallest part
/// of a job that is started by itself: one task, or all tasks of a gang.

#include <jasminetrack/tasks/crash_history.hpp>

#include <map>

namespace jasminetrack::tasks
{

/// Identifies a unit within its job. The index of a gang is 0.
struct unit_id
{
    std::int64_t occurrence = 0;
    std::int64_t step = 0;
    std::int64_t index = 0;

    friend auto operator<=>(unit_id const&, unit_id const&) = default;
};

enum class unit_phase : std::uint8_t
{
    waiting,
    active, ///< its run has workers; its tasks run or are being started
    ending, ///< its run is over, but some tasks are still on workers
    done,
    failed,
};

inline constexpr milliseconds unknown_late_lease_ms = -1;

/// Progress of one unit.
struct unit
{
    unit_phase phase = unit_phase::waiting;
    std::int64_t run = 0;        ///< number of the newest run
    std::int64_t failures = 0;   ///< number of failed runs
    std::int64_t failed_run = 0; ///< newest run counted in `failures`
    std::string checkpoint;      ///< newest; empty: none
    /// Worker of each task of the newest run; empty once the task has left it.
    /// Of a waiting unit: where starts of earlier runs may come late.
    std::vector<std::string> places;
    /// Incarnation of each of these workers at the placement; 0: not known.
    std::vector<std::int64_t> incarnations;
    std::vector<worker_loss> losses; ///< of all runs
    /// Newest run of which all starts were sent once and answered, so that none
    /// can be carried out late; 0: none.
    std::int64_t answered_run = 0;
    /// How long after the placement leases on these workers may last that
    /// orders to their earlier processes have set, in milliseconds; -1: not
    /// known.
    milliseconds late_lease_ms = unknown_late_lease_ms;

    friend bool operator==(unit const&, unit const&) = default;
};

/// Progress of a job.
struct job_progress
{
    job_phase phase = job_phase::queued;
    bool begun = false; ///< a task has started
    std::map<unit_id, unit> units;

    friend bool operator==(job_progress const&, job_progress const&) = default;
};

/// \returns the progress of a job of which nothing has started.
[[nodiscard]] job_progress initial_progress(job_spec const& spec);

/// The part of a job's progress that can be read without decoding its units.
struct progress_summary
{
    job_phase phase = job_phase::queued;
    bool begun = false;

    friend bool operator==(progress_summary const&,
                           progress_summary const&) = default;
};

/// \returns the value of the job's log record.
[[nodiscard]] std::string encode(accepted_job const& job);
/// \returns nothing if `bytes` are not an encoded job.
[[nodiscard]] std::optional<accepted_job> decode_job(std::string const& bytes);
/// \returns the value of the progress record: the phase, a byte that shows
/// whether the job has begun, and, unless the phase is final, the units that
/// differ from their initial state.
[[nodiscard]] std::string encode(job_progress const& progress);
/// \returns nothing if `bytes` are not encoded progress.
[[nodiscard]] std::optional<progress_summary>
decode_summary(std::string const& bytes);
/// \returns the progress with all units of the job, or nothing if `bytes` are
/// not encoded progress.
[[nodiscard]] std::optional<job_progress>
decode_progress(std::string const& bytes, job_spec const& spec);

} // namespace jasminetrack::tasks
