#pragma once
/// \file
/// Structured logging: one line per event, with "key=value" fields after the
/// step.

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

/// A field of a log line. A field without a key is written as its value.
struct log_field
{
    std::string key;
    std::string value;
};

/// Starts logging to standard output from a separate thread. When the queue of
/// that thread is full, because standard output is read too slowly, new lines
/// are dropped and counted.
/// \param node  name of this node, written in every line
/// \param level debug, info or warning; lower levels are not written
void open_log(std::string const& node, std::string const& level);
/// Stops logging and flushes the queued lines.
void close_log();
/// \returns the number of lines dropped since the start of the process.
[[nodiscard]] std::uint64_t dropped_log_lines() noexcept;

/// Writes a log line. Safe to call from any thread; does not wait
/// for the output.
/// \code
/// write_log(log_level::info, "job.place", {{"job", id}, {"team", team}});
/// \endcode
void write_log(log_level level, std::string const& step,
               std::vector<log_field> const& fields);

} // namespace jasminetrack::runtime
