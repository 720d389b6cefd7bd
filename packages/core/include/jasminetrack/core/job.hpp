#pragma once
/// \file
/// State of a gang job, derived from the log.

#include <jasminetrack/core/records.hpp>

#include <set>

namespace jasminetrack::core
{

/// Lifecycle state of a job.
enum class job_state : std::uint8_t
{
    waiting,  ///< in the queue
    placed,   ///< has places; no member has started
    running,  ///< the start of all members is recorded
    stopping, ///< members are being stopped; then queued again or ended
    ended,
};

/// How a job ended.
enum class job_end : std::uint8_t
{
    none, ///< it has not ended
    done,
    failed,
    cancelled,
    not_run, ///< refused and never started
    unknown, ///< it may have run in part
};

/// A gang job with its current placement.
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
    log_offset submitted = 0; ///< offset of its submit record
    milliseconds submitted_ms = 0;
    milliseconds started_ms = 0; ///< of the last start
    milliseconds ended_ms = 0;
    job_state state = job_state::waiting;
    bool cancel_wanted = false;
    bool calm_stop = false; ///< the stop has the graceful-stop period
    bool ever_started = false;
    int attempt = 0; ///< number of placements
    int stops = 0;   ///< number of stops after a start
    assignment places;
    std::set<std::string> failed_on; ///< workers on which it failed
    std::string seat; ///< guaranteed seat in use; empty: spare work
    job_end end = job_end::none;
    std::string detail; ///< result or reason of the end

    friend bool operator==(job const&, job const&) = default;
};

[[nodiscard]] char const* to_text(job_state s) noexcept;
[[nodiscard]] char const* to_text(job_end e) noexcept;
[[nodiscard]] char const* to_text(call_end e) noexcept;

/// \returns whether the job holds accelerators.
[[nodiscard]] bool holds_places(job const& j) noexcept;

} // namespace jasminetrack::core
