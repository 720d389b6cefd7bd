#include <jasminetrack/tasks/cost_of_delay.hpp>

#include <algorithm>
#include <tuple>

namespace jasminetrack::tasks
{
namespace
{

/// Part of its value that a job keeps if it ends late.
constexpr double late_value = 0.3;
/// A smaller remaining need counts as this much.
constexpr double min_work_core_s = 0.001;
constexpr milliseconds long_wait_divisor = 2;

double lost_value(timeliness t) noexcept
{
    switch (t)
    {
    case timeliness::on_time:
        return 1 - late_value;
    case timeliness::late:
        return late_value;
    case timeliness::expired:
        break;
    }
    return 0;
}

/// \returns whether the unit has its place by age: urgent work, work that
/// nothing is lost by, and work that has waited long.
bool is_ordered_by_age(ordering_key const& c) noexcept
{
    return c.priority == 0 || timeliness_of(c) == timeliness::expired ||
           has_waited_long(c);
}

auto order_of(ordering_key const& c) noexcept
{
    bool const by_age = is_ordered_by_age(c);
    return std::tuple(group_of(c), timeliness_of(c), c.priority, !by_age,
                      by_age ? 0 : -cost_of_delay(c), -c.age_ms);
}

} // namespace

double cost_of_delay(ordering_key const& c) noexcept
{
    return lost_value(timeliness_of(c)) /
           std::max(c.work_core_s, min_work_core_s);
}

bool has_waited_long(ordering_key const& c) noexcept
{
    return c.age_ms * long_wait_divisor >= expiry_objectives * c.objective_ms;
}

bool precedes_by_cost(ordering_key const& a, ordering_key const& b) noexcept
{
    return order_of(a) < order_of(b);
}

} // namespace jasminetrack::tasks
