#pragma once
/// \file
/// Finds from the log lines of all VMs why jobs were late or lost.

#include "log_lines.hpp"

namespace jasminetrack::cli
{

/// Times and events of one job. Times are in microseconds since midnight UTC;
/// -1: not in the log.
struct job_times
{
    std::int64_t priority = -1;
    std::int64_t first = -1;       ///< start of the first submission
    std::int64_t accepted = -1;    ///< its record was stored in the log
    std::int64_t placed = -1;      ///< first placement of a unit
    std::int64_t placed_last = -1; ///< last placement of a unit
    std::int64_t ended = -1;
    std::int64_t objective_us = 0; ///< from submission to end
    bool spread = false;   ///< a gang that requires one rack ran on several
    bool given_up = false; ///< a task of it crashed its workers
    bool cancelled = false;
    bool refused = false; ///< and no later submission was stored
    std::string phase;    ///< at its end
    /// First placement of each unit, by "step/index".
    std::map<std::string, std::int64_t> first_runs;
    /// Longest time from the first to the last placement of a unit.
    std::int64_t lost_us = 0;
    std::map<std::string, int> reasons; ///< why runs were ended, with counts
};

/// Updates the times from a log line of this job.
void update(job_times& t, log_line const& l);

/// \returns the outcome of the job, with the cause if it was late or lost; a
/// key of `loss_table`.
[[nodiscard]] std::string outcome_of(job_times const& t);

/// Runs that were ended for one reason.
struct ended_runs
{
    int count = 0;
    std::int64_t lost_core_s = 0; ///< work that has to be done again

    friend bool operator==(ended_runs const&, ended_runs const&) = default;
};

/// Why jobs were late or lost, by priority.
struct loss_table
{
    std::map<std::string, ended_runs> ended; ///< by reason
    /// Outcomes and their counts, by priority; -1: never placed.
    std::map<std::int64_t, std::map<std::string, int>> causes;
    int jobs = 0; ///< that were submitted in these lines
};

[[nodiscard]] loss_table count_losses(std::vector<log_line> const& lines);
/// \returns the table as text, most frequent outcomes and largest losses first.
[[nodiscard]] std::string to_text(loss_table const& t);

} // namespace jasminetrack::cli
