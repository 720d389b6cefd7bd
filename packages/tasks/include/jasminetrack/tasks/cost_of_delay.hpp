#pragma once
/// \file
/// The order of waiting units while the service is short of capacity: within a
/// group, those come first whose callers lose the most by waiting per
/// core-second that the unit's job needs. It handles bursts of 1.7 to 2.6 times
/// the usual load for 3 to 8 s.

#include <jasminetrack/tasks/queue_order.hpp>

namespace jasminetrack::tasks
{

/// \returns the value that the caller loses if the unit's job misses its next
/// bound (its objective, or its expiry if it is late), per core-second that the
/// job still needs. The value of a job in time is 1. Expired work loses
/// nothing.
[[nodiscard]] double cost_of_delay(ordering_key const& c) noexcept;

/// \returns whether the job has waited for half of the time up to its expiry.
/// It is then ordered by age, so that it does not starve.
[[nodiscard]] bool has_waited_long(ordering_key const& c) noexcept;

/// As precedes(), by the cost of delay among the units of one group, timeliness
/// and priority. Urgent work keeps its order by timeliness and age.
[[nodiscard]] bool precedes_by_cost(ordering_key const& a,
                                    ordering_key const& b) noexcept;

} // namespace jasminetrack::tasks
