#pragma once
/// \file
/// Structured logs: one line an event, "key=value" fields after the step.

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace jasminetrack::runtime
{

enum class log_level
{
    debug,
    info,
    warning,
    error,
};

/// One field of a log line.
struct log_field
{
    std::string key;
    std::string value;
};

/// Sets up the log; lines go to standard output from a thread of the log.
/// Lines that the reader is too slow for are dropped and counted.
/// \param node name that every line carries
void open_log(std::string const& node, std::string const& level);
/// Writes what is left of the log, as far as its reader takes it.
void close_log();
/// \returns how many lines were dropped since the start.
[[nodiscard]] std::uint64_t dropped_log_lines() noexcept;

/// \code
/// write_log(log_level::info, "job.place", {{"job", id}, {"team", team}});
/// \endcode
void write_log(log_level level, std::string const& step,
               std::vector<log_field> const& fields);

} // namespace jasminetrack::runtime
