#pragma once
/// \file
/// Parses the log lines that the daemons write.

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace jasminetrack::cli
{

/// A line of a daemon's log, "TIME level=info node=N step=S key=value ...".
struct log_line
{
    std::string time;         ///< ISO 8601, UTC
    std::int64_t time_us = 0; ///< since midnight UTC
    std::string node;
    std::string step;
    std::map<std::string, std::string> fields;

    /// \returns the value of a field; empty if it is missing.
    [[nodiscard]] std::string const& field(std::string const& key) const;
    /// \returns the value of a field as an integer; 0 if it is missing.
    [[nodiscard]] std::int64_t number(std::string const& key) const;
};

/// Reads all log lines, sorted by time. A prefix before the time, as a log
/// collector adds it, is skipped, and so are lines without a time or step.
[[nodiscard]] std::vector<log_line> read_log(std::istream& in);

} // namespace jasminetrack::cli
