#pragma once
/// \file
/// What became of one job, in sentences, from the log lines of all VMs.

#include "log_lines.hpp"

namespace jasminetrack::cli
{

/// Tells one job's story in sentences, and its cause in the last one.
/// \returns nothing if no line names the job.
[[nodiscard]] std::vector<std::string>
story_of(std::vector<log_line> const& lines, std::string const& job);

} // namespace jasminetrack::cli
