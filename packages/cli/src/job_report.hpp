#pragma once
/// \file
/// Describes from the log lines of all VMs what happened to one job.

#include "log_lines.hpp"

namespace jasminetrack::cli
{

/// Describes a job in one sentence per log line that concerns it: lines with
/// its id, and lines about its workers, the log and the dispatcher role while
/// it was known. The last sentence states the outcome and its cause. \returns
/// nothing if no line mentions the job.
[[nodiscard]] std::vector<std::string>
describe_job(std::vector<log_line> const& lines, std::string const& job);

} // namespace jasminetrack::cli
