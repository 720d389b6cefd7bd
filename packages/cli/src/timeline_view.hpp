#pragma once
/// \file
/// Merges the time lines of several processes and formats them as text or as an
/// HTML page.

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace jasminetrack::cli
{

/// An event that one or more nodes reported.
struct merged_event
{
    std::int64_t ms = 0;      ///< logical time, milliseconds since 1970
    std::uint32_t step = 0;   ///< order within the millisecond
    std::int64_t offset = -1; ///< of the log record that caused it; -1: none
    std::string kind;
    std::string key;
    std::string text;
    std::vector<std::string> nodes; ///< that reported it, by logical time

    friend bool operator==(merged_event const&, merged_event const&) = default;
};

/// Merges responses of /v1/timeline. Events of log records are put in log
/// order, and each record's events of several nodes are combined; other events
/// are put in by their logical time.
[[nodiscard]] std::vector<merged_event>
merge_timelines(std::vector<nlohmann::json> const& answers);

[[nodiscard]] std::string to_text(std::vector<merged_event> const& events);
[[nodiscard]] std::string to_html(std::vector<merged_event> const& events);

} // namespace jasminetrack::cli
