#pragma once
/// \file
/// The settings file of a daemon.

#include <jasminetrack/core/node.hpp>
#include <jasminetrack/protocol/yaml_reader.hpp>

namespace jasminetrack::protocol
{

/// Limits on what callers may ask of one entry VM.
struct request_limits
{
    std::int64_t body_bytes = 1024 * 1024;
    std::int64_t header_bytes = 16 * 1024;
    std::int64_t requests = 256;           ///< served or waiting at once
    std::int64_t team_requests = 128;      ///< of one team at once
    std::int64_t answer_bytes = 64 * 1024; ///< kept in the log for a key

    friend bool operator==(request_limits const&,
                           request_limits const&) = default;
};

/// All that a daemon is told at its start.
struct daemon_settings
{
    std::string node;
    std::string region;
    std::string data_center;
    std::string listen;   ///< IP:port for callers and operators
    std::string mesh;     ///< IP:port for other entry VMs
    std::string platform; ///< IP:port of the platform
    int threads = 32;     ///< that serve requests
    request_limits limits;
    core::timing_settings timing;
    core::policy_settings policy;
    std::int64_t snapshot_records = 2000; ///< between two snapshots
    std::int64_t drain_ms = 20'000;
    std::string log_level = "info";

    friend bool operator==(daemon_settings const&,
                           daemon_settings const&) = default;
};

[[nodiscard]] parse_result<daemon_settings>
parse_settings(std::string const& text, std::string const& file);

} // namespace jasminetrack::protocol
