#pragma once
/// \file
/// What became of one job, in sentences, from the log lines of all VMs.

#include "log_lines.hpp"

namespace jasminetrack::cli
{

/// Describes a job in sentences; the last one names the outcome and its cause.
/// \returns nothing if no line mentions the job.
[[nodiscard]] std::vector<std::string>
describe_job(std::vector<log_line> const& lines, std::string const& job);

} // namespace jasminetrack::cli
