#pragma once
/// \file
/// The order in which waiting units are placed when more work waits than fits:
/// urgent work first, that within its team's guarantee before the rest, then
/// priorities below their least share, then the others.
/// Within each group, units that can still meet their objective precede late
/// ones. Work that completes too late to be of use to its caller comes last,
/// whatever its priority.

#include <jasminetrack/tasks/model.hpp>

namespace jasminetrack::tasks
{

/// When a unit's job would end, compared to its objective, if it started now.
enum class timeliness : std::uint8_t
{
    on_time,
    late,    ///< after the objective
    expired, ///< too late to be of use to the caller
};

/// Groups of the queue order, first to last.
enum class queue_group : std::uint8_t
{
    guaranteed,  ///< urgent and within its team's guarantee, unless expired
    urgent,      ///< unless expired
    below_share, ///< unless expired
    rest,
};

/// A job that ends after this multiple of its objective is of no use to its
/// caller.
inline constexpr milliseconds expiry_objectives = 3;

/// The properties of a waiting unit that determine its place in the order.
struct ordering_key
{
    std::int64_t priority = 0;     ///< 0 is the highest
    milliseconds age_ms = 0;       ///< since the job was accepted or due
    milliseconds remaining_ms = 0; ///< critical path from this step on
    milliseconds objective_ms = 0; ///< for the time from acceptance to the end
    bool below_share = false;      ///< its priority is below its least share
    bool guaranteed = false;       ///< by its team's guarantee
    /// Core-seconds that the job still needs to be placed; set only while the
    /// order is by cost of delay.
    double work_core_s = 0;

    friend bool operator==(ordering_key const&, ordering_key const&) = default;
};

[[nodiscard]] timeliness timeliness_of(ordering_key const& c) noexcept;

[[nodiscard]] queue_group group_of(ordering_key const& c) noexcept;
/// \returns for how long the unit can wait and its job end before it expires;
/// negative if it cannot.
[[nodiscard]] milliseconds time_to_spare(ordering_key const& c) noexcept;

/// \returns whether `a` is placed before `b`.
[[nodiscard]] bool precedes(ordering_key const& a,
                            ordering_key const& b) noexcept;

/// \returns for each step the longest chain of estimated work from its start to
/// the end of the job.
[[nodiscard]] std::vector<milliseconds> critical_paths_of(job_spec const& spec);

/// \returns the time after acceptance within which a job should complete.
[[nodiscard]] milliseconds objective_of(queue const& q, job_spec const& spec);

} // namespace jasminetrack::tasks
