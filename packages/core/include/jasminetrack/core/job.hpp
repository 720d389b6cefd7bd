#pragma once
/// \file
/// A gang job as the log tells it.

#include <jasminetrack/core/records.hpp>

#include <set>

namespace jasminetrack::core
{

enum class job_state : std::uint8_t
{
    waiting,  ///< in the queue
    placed,   ///< has places; no member was started
    running,  ///< start was decided for all members
    stopping, ///< to be stopped; goes back to the queue
    ended,
};

enum class job_end : std::uint8_t
{
    none,
    done,
    failed,
    cancelled,
    not_run, ///< refused, never started
    unknown, ///< may have run in part
};

struct job
{
    job_id id;
    std::string team;
    std::string key;
    std::string job_class;
    std::string region;
    std::string payload;
    shape gang;
    capacity_source draws_on = capacity_source::spare;
    bool idempotent = true;
    log_offset submitted = 0;
    milliseconds submitted_ms = 0;
    milliseconds started_ms = 0; ///< of the last start
    milliseconds ended_ms = 0;
    job_state state = job_state::waiting;
    bool cancel_wanted = false;
    bool calm_stop = false; ///< it has time for a whole checkpoint
    bool ever_started = false;
    int attempt = 0; ///< counts placements
    int stops = 0;   ///< how often it was stopped or lost
    assignment places;
    std::set<std::string> failed_on; ///< workers on which it failed
    std::string seat;                ///< guaranteed seat it uses; empty: spare
    job_end end = job_end::none;
    std::string detail; ///< result, checkpoint or reason

    friend bool operator==(job const&, job const&) = default;
};

[[nodiscard]] char const* to_text(job_state s) noexcept;
[[nodiscard]] char const* to_text(job_end e) noexcept;
[[nodiscard]] char const* to_text(call_end e) noexcept;

/// \returns whether the job holds accelerators.
[[nodiscard]] bool holds_places(job const& j) noexcept;

} // namespace jasminetrack::core
