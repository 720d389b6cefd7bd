#pragma once
/// \file
/// Whether a new job is accepted while its service is short of capacity. It
/// handles waiting work that needs more capacity than the service frees before
/// the objectives of its callers: bursts of 1.7 to 2.6 times the usual load for
/// 3 to 8 s. A job is refused only if it would end clearly after its expiry, as
/// estimates of durations may be off by a factor of two.

#include <jasminetrack/tasks/load_reading.hpp>

namespace jasminetrack::tasks
{

/// What a new job needs, as far as its admission depends on it.
struct admission_need
{
    std::int64_t priority = 0;
    milliseconds critical_path_ms = 0;
    milliseconds objective_ms = 0;
    double core_s = 0;        ///< core-seconds of its cores
    double accelerator_s = 0; ///< core-seconds of its accelerators
    /// It has no due times and no tasks that run until it is cancelled.
    bool has_end = true;

    friend bool operator==(admission_need const&,
                           admission_need const&) = default;
};

[[nodiscard]] admission_need admission_need_of(queue const& q,
                                               job_spec const& spec);

/// Work of one priority that this entry VM has accepted since the newest
/// reading.
struct accepted_work
{
    double core_s = 0;
    double accelerator_s = 0;

    friend bool operator==(accepted_work const&,
                           accepted_work const&) = default;
};
using accepted_by_priority = std::map<std::int64_t, accepted_work>;

enum class admission_reason : std::uint8_t
{
    urgent,        ///< priority 0 is always accepted
    no_end,        ///< there is no end to estimate
    no_reading,    ///< none, or too old
    room,          ///< less than half of the service is in use
    ends_in_time,  ///< before its expiry, by the margin
    ends_too_late, ///< the only one that refuses
};

[[nodiscard]] char const* to_text(admission_reason r) noexcept;

struct admission_verdict
{
    admission_reason reason = admission_reason::no_reading;
    milliseconds wait_ms = 0;   ///< estimated, until there is capacity
    milliseconds end_ms = 0;    ///< estimated time to the job's end
    milliseconds expiry_ms = 0; ///< time until it expires

    [[nodiscard]] bool accepted() const noexcept
    {
        return reason != admission_reason::ends_too_late;
    }
    friend bool operator==(admission_verdict const&,
                           admission_verdict const&) = default;
};

/// Oldest reading that a decision may rely on.
inline constexpr milliseconds max_reading_age_ms = 3'000;

/// \param load    of the job's service; nullptr: no reading
/// \param age_ms  of the reading, since it was read
[[nodiscard]] admission_verdict
judge_admission(admission_need const& need, service_reading const* load,
                milliseconds age_ms, accepted_by_priority const& accepted);

} // namespace jasminetrack::tasks
