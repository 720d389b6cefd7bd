#pragma once
/// \file
/// The commands of `jasminetrack`. Each prints and returns an exit code.

#include "entry_client.hpp"

#include <cstdint>
#include <string>

namespace jasminetrack::cli
{

/// What all commands share.
struct common_options
{
    std::vector<std::string> entries;
    bool json = false;
};

struct submit_options
{
    std::string team;
    std::string job_class;
    std::string key;
    std::string payload;
};

struct call_options
{
    std::string service;
    std::string team;
    std::string key;
    std::string file;
    std::int64_t deadline_ms = 0;
};

[[nodiscard]] int submit(common_options const& c, submit_options const& o);
[[nodiscard]] int call(common_options const& c, call_options const& o);
[[nodiscard]] int status(common_options const& c);
[[nodiscard]] int jobs(common_options const& c, std::string const& team);
[[nodiscard]] int cancel(common_options const& c, std::string const& job);
/// Waits up to `wait_ms` for the job's end and prints its result.
[[nodiscard]] int result(common_options const& c, std::string const& job,
                         std::int64_t wait_ms);
[[nodiscard]] int explain(common_options const& c, std::string const& job);
[[nodiscard]] int ticket_check(common_options const& c,
                               std::string const& file);
[[nodiscard]] int ticket_apply(common_options const& c,
                               std::string const& file);
[[nodiscard]] int ticket_show(common_options const& c);
/// \param html file for the page; empty: text to standard output
[[nodiscard]] int timeline(common_options const& c, std::string const& html);

/// Tells from log files what became of a job. No file: standard input.
[[nodiscard]] int why(std::string const& job,
                      std::vector<std::string> const& files);
/// Prints why the jobs in log files were late or lost, by priority.
[[nodiscard]] int losses(std::vector<std::string> const& files);

} // namespace jasminetrack::cli
