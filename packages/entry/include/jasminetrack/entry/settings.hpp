#pragma once
/// \file
/// Settings of an entry process that runs on a platform with general jobs.

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
    std::string ready;  ///< IP:port for readiness checks and metrics
    std::string mesh;   ///< IP:port for other entry VMs
    std::string log;    ///< IP:port of the platform's log
    std::string advice; ///< IP:port of the placement advice; empty: none
    std::string log_level = "info";
    std::int64_t threads = 16; ///< threads that serve callers
    /// Longest time that a stop may take; the platform then kills the process.
    milliseconds stop_within_ms = 6'000;
    double processor_share = 1; ///< of this VM, in processors
    tasks::dispatch_limits limits;

    friend bool operator==(entry_settings const&,
                           entry_settings const&) = default;
};

/// \returns whether the text has a `jobs` section, which only the settings of
/// this kind of process have.
[[nodiscard]] bool is_entry_settings(std::string const& text);

/// \param text  YAML
/// \param file  name of the file, for messages
/// \param evacuation_bound_ms  default of jobs.evacuate; 0: none
[[nodiscard]] protocol::parse_result<entry_settings>
parse_entry_settings(std::string const& text, std::string const& file,
                     milliseconds evacuation_bound_ms = 0);

} // namespace jasminetrack::entry
