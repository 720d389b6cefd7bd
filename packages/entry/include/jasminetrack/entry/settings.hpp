#pragma once
/// \file
/// The settings of an entry process that runs on a platform with general
/// jobs.

#include <jasminetrack/entry/ports.hpp>
#include <jasminetrack/protocol/yaml_reader.hpp>
#include <jasminetrack/tasks/dispatcher.hpp>

namespace jasminetrack::entry
{

struct entry_settings
{
    std::string node;
    std::string region;
    std::string data_center;
    std::string listen; ///< IP:port for callers
    std::string ready;  ///< IP:port for the balancer's checks and metrics
    std::string mesh;   ///< IP:port for other entry VMs
    std::string log;    ///< IP:port of the platform's log
    std::string advice; ///< IP:port of the placement advice; may be empty
    std::string log_level = "info";
    std::int64_t threads = 16;           ///< that serve callers
    milliseconds stop_within_ms = 6'000; ///< the process is killed after it
    double processor_share = 1;          ///< of one processor, of this VM
    tasks::dispatch_limits bounds;

    friend bool operator==(entry_settings const&,
                           entry_settings const&) = default;
};

/// \returns whether the text is meant for this kind of process: it has a
/// `jobs` section.
[[nodiscard]] bool is_entry_settings(std::string const& text);

[[nodiscard]] protocol::parse_result<entry_settings>
parse_entry_settings(std::string const& text, std::string const& file);

} // namespace jasminetrack::entry
