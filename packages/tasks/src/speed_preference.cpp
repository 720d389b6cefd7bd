#include <jasminetrack/tasks/speed_preference.hpp>

namespace jasminetrack::tasks
{
namespace
{

/// Estimates are too low by up to this factor.
constexpr double max_estimate_error = 1.9;

/// \returns whether the job ends within its objective if its remaining work
/// takes `factor` times as long as estimated.
bool meets_objective(speed_terms const& t, double factor) noexcept
{
    return static_cast<double>(t.age_ms) +
               static_cast<double>(t.remaining_ms) * factor <=
           static_cast<double>(t.objective_ms);
}

} // namespace

speed_preference preference_of(speed_terms const& t) noexcept
{
    if (t.priority == 0)
        return speed_preference::usual_first;
    if (meets_objective(t, t.slow_factor * max_estimate_error))
        return speed_preference::slower_first;
    if (meets_objective(t, 1) && !meets_objective(t, t.slow_factor))
        return speed_preference::usual_first;
    return speed_preference::none;
}

} // namespace jasminetrack::tasks
