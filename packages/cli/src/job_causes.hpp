#pragma once
/// \file
/// Why jobs came late or were lost, from the log lines of all VMs.

#include "log_lines.hpp"

namespace jasminetrack::cli
{

/// The parts of one job's time; times are of the day, in microseconds, and -1
/// if the log does not have them.
struct job_times
{
    std::int64_t priority = -1;
    std::int64_t first = -1;    ///< first request
    std::int64_t accepted = -1; ///< its record was stored
    std::int64_t placed = -1;   ///< first placement
    std::int64_t placed_last = -1;
    std::int64_t ended = -1;
    std::int64_t objective_us = 0;
    bool spread = false; ///< a gang that wants one rack ran on several
    bool cancelled = false;
    bool refused = false;
    std::string phase;
    std::map<std::string, std::int64_t> first_runs;
    std::int64_t lost_us = 0; ///< longest from a first run to the last one
    std::map<std::string, int> reasons; ///< why runs were ended
};

/// Takes a line of this job in.
void update(job_times& t, log_line const& l);

/// \returns in a few words what became of the job.
[[nodiscard]] std::string cause_of(job_times const& t);

/// Why jobs were late or lost, by priority.
struct loss_table
{
    /// Causes and their counts, by priority; -1: it was never placed.
    std::map<std::int64_t, std::map<std::string, int>> causes;
    int jobs = 0;
};

[[nodiscard]] loss_table count_losses(std::vector<log_line> const& lines);
[[nodiscard]] std::string to_text(loss_table const& t);

} // namespace jasminetrack::cli
