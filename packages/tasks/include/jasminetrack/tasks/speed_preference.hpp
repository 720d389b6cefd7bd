#pragma once
/// \file
/// Which workers a unit takes first by their speed. The preference only orders
/// the workers that have room: no unit waits for a speed, and no worker is
/// excluded by it.
///
/// Load: a third of the workers take 1.3 times as long, and urgent work has an
/// objective of 1.5 times its work plus 0.4 s.

#include <jasminetrack/tasks/model.hpp>

namespace jasminetrack::tasks
{

/// Order of the workers by their speed.
enum class speed_preference : std::uint8_t
{
    none,
    usual_first,
    slower_first,
};

/// What a preference depends on.
struct speed_terms
{
    std::int64_t priority = 0;     ///< 0 is the highest
    milliseconds age_ms = 0;       ///< since the job was accepted or due
    milliseconds remaining_ms = 0; ///< critical path from the unit's step on
    milliseconds objective_ms = 0; ///< for the time from acceptance to the end
    double slow_factor = 1; ///< duration on slower workers to that on others

    friend bool operator==(speed_terms const&, speed_terms const&) = default;
};

/// Urgent work takes workers of the usual speed first. Other work takes slower
/// ones first if it meets its objective there in spite of the error of its
/// estimate, and usual ones first if only these let it meet its objective.
[[nodiscard]] speed_preference preference_of(speed_terms const& t) noexcept;

} // namespace jasminetrack::tasks
