#pragma once
/// \file
/// How far a job is. A unit is what starts together: one task, or all tasks
/// of a gang.

#include <jasminetrack/tasks/model.hpp>

#include <map>

namespace jasminetrack::tasks
{

/// Names a unit within its job. The index is 0 for a gang.
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
    active, ///< its run has workers; members run or are being started
    ending, ///< its run is over; some members are not yet off their workers
    done,
    failed,
};

struct unit
{
    unit_phase phase = unit_phase::waiting;
    std::int64_t run = 0;        ///< newest run number
    std::int64_t failures = 0;   ///< runs that ended failed
    std::int64_t failed_run = 0; ///< newest run that is counted in it
    std::string checkpoint;      ///< newest; empty: none
    /// Worker of each member of the newest run; empty: off its worker.
    std::vector<std::string> places;

    friend bool operator==(unit const&, unit const&) = default;
};

struct job_progress
{
    job_phase phase = job_phase::queued;
    bool begun = false; ///< a task has started
    std::map<unit_id, unit> units;

    friend bool operator==(job_progress const&, job_progress const&) = default;
};

/// \returns a job's units, none of them started.
[[nodiscard]] job_progress initial_progress(job_spec const& spec);

/// What readers need without decoding the units.
struct progress_summary
{
    job_phase phase = job_phase::queued;
    bool begun = false;

    friend bool operator==(progress_summary const&,
                           progress_summary const&) = default;
};

/// Record forms in the log. Decoders return nothing for bytes that no
/// version of this program wrote.
[[nodiscard]] std::string encode(accepted_job const& job);
[[nodiscard]] std::optional<accepted_job> decode_job(std::string const& bytes);
[[nodiscard]] std::string encode(job_progress const& progress);
[[nodiscard]] std::optional<progress_summary>
decode_summary(std::string const& bytes);
/// Fills the units that were written into fresh progress.
[[nodiscard]] std::optional<job_progress>
decode_progress(std::string const& bytes, job_spec const& spec);

} // namespace jasminetrack::tasks
