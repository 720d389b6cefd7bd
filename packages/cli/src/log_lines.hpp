#pragma once
/// \file
/// The lines that the daemons log, read again.

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace jasminetrack::cli
{

/// One line of a daemon's log, "TIME level=info node=N step=S key=value ...".
struct log_line
{
    std::string time;         ///< ISO 8601, UTC
    std::int64_t time_us = 0; ///< of the day
    std::string node;
    std::string step;
    std::map<std::string, std::string> fields;

    /// \returns the field's text; empty if there is none.
    [[nodiscard]] std::string const& field(std::string const& key) const;
    /// \returns the field as a number; 0 if there is none.
    [[nodiscard]] std::int64_t number(std::string const& key) const;
};

/// Reads the lines that carry a step, in order of their times. Anything before
/// the time is skipped, and so are other lines.
[[nodiscard]] std::vector<log_line> read_log(std::istream& in);

} // namespace jasminetrack::cli
