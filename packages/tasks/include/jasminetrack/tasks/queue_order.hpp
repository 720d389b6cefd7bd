#pragma once
/// \file
/// In which order waiting units get room. Answers days on which more work
/// waits than fits: urgent work first, then priorities below their least share,
/// then the others. Among each, what can still be in time goes before what is
/// late already; what can no longer be of use to its caller goes last.

#include <jasminetrack/tasks/model.hpp>

namespace jasminetrack::tasks
{

/// What a unit could still be if it started now.
enum class timeliness : std::uint8_t
{
    on_time,
    late,
    expired,
};

/// What the order of the queue looks at.
struct ordering_key
{
    std::int64_t priority = 0;     ///< 0 comes first
    milliseconds age_ms = 0;       ///< since the job was accepted
    milliseconds remaining_ms = 0; ///< longest chain of work left
    milliseconds objective_ms = 0; ///< from acceptance to the end
    bool below_share = false; ///< its priority holds less than its least share

    friend bool operator==(ordering_key const&, ordering_key const&) = default;
};

[[nodiscard]] timeliness timeliness_of(ordering_key const& c) noexcept;

/// \returns whether `a` gets room before `b`.
[[nodiscard]] bool precedes(ordering_key const& a,
                            ordering_key const& b) noexcept;

/// \returns for each step the longest chain of work from its start to the
/// end of the job.
[[nodiscard]] std::vector<milliseconds> critical_paths_of(job_spec const& spec);

/// \returns the time from acceptance in which a job should be completed.
[[nodiscard]] milliseconds objective_of(queue const& q, job_spec const& spec);

} // namespace jasminetrack::tasks
