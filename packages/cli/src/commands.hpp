#pragma once
/// \file
/// The commands of the program `jasminetrack`. Each prints its result to
/// standard output and errors to standard error, and returns an exit code.

#include "entry_client.hpp"

#include <cstdint>
#include <string>

namespace jasminetrack::cli
{

/// Options of all commands.
struct common_options
{
    std::vector<std::string> entries; ///< IP:port of each entry VM
    bool json = false;                ///< print responses as JSON
};

/// Options of `submit`.
struct submit_options
{
    std::string team;
    std::string job_class;
    std::string key; ///< empty: a new one is generated
    std::string payload;
};

/// Options of `call`.
struct call_options
{
    std::string service;
    std::string team;
    std::string key;              ///< empty: a new one is generated
    std::string file;             ///< request body; -: standard input
    std::int64_t deadline_ms = 0; ///< 0: the service's own
};

[[nodiscard]] int submit(common_options const& c, submit_options const& o);
[[nodiscard]] int call(common_options const& c, call_options const& o);
[[nodiscard]] int status(common_options const& c);
/// Evacuates a data center; prints what is still there and the guarantees that
/// cannot be met until it is restored.
[[nodiscard]] int evacuate(common_options const& c,
                           std::string const& data_center);
/// Restores an evacuated data center to service.
[[nodiscard]] int restore(common_options const& c,
                          std::string const& data_center);
[[nodiscard]] int jobs(common_options const& c, std::string const& team);
[[nodiscard]] int cancel(common_options const& c, std::string const& job);
/// Waits up to `wait_ms` for the job to end and prints its result.
[[nodiscard]] int result(common_options const& c, std::string const& job,
                         std::int64_t wait_ms);
[[nodiscard]] int explain(common_options const& c, std::string const& job);
[[nodiscard]] int ticket_check(common_options const& c,
                               std::string const& file);
[[nodiscard]] int ticket_apply(common_options const& c,
                               std::string const& file);
[[nodiscard]] int ticket_show(common_options const& c);
/// Prints the merged time line of all entry VMs.
/// \param html file for an HTML page; empty: text to standard output
[[nodiscard]] int timeline(common_options const& c, std::string const& html);

/// Prints from log files what happened to a job.
/// \param files log files of all VMs; empty: standard input
[[nodiscard]] int why(std::string const& job,
                      std::vector<std::string> const& files);
/// Prints why jobs in log files were late or lost, as a table by priority.
/// \param files log files of all VMs; empty: standard input
[[nodiscard]] int losses(std::vector<std::string> const& files);

} // namespace jasminetrack::cli
