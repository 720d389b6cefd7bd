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
enum class prospect : std::uint8_t
{
    in_time,
    late,
    too_late,
};

/// What the order of the queue looks at.
struct queue_claim
{
    std::int64_t priority = 0;     ///< 0 comes first
    milliseconds age_ms = 0;       ///< since the job was accepted
    milliseconds remaining_ms = 0; ///< longest chain of work left
    milliseconds objective_ms = 0; ///< from acceptance to the end
    bool below_share = false; ///< its priority holds less than its least share

    friend bool operator==(queue_claim const&, queue_claim const&) = default;
};

[[nodiscard]] prospect prospect_of(queue_claim const& c) noexcept;

/// \returns whether `a` gets room before `b`.
[[nodiscard]] bool goes_before(queue_claim const& a,
                               queue_claim const& b) noexcept;

/// \returns for each step the longest chain of work from its start to the
/// end of the job.
[[nodiscard]] std::vector<milliseconds> chains_of(job_spec const& spec);

/// \returns the time from acceptance in which a job should be completed.
[[nodiscard]] milliseconds objective_of(queue const& q, job_spec const& spec);

} // namespace jasminetrack::tasks
