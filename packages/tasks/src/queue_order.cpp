#include <jasminetrack/tasks/queue_order.hpp>

#include <algorithm>
#include <tuple>

namespace jasminetrack::tasks
{
namespace
{

/// Work of lower priorities is expected to be stopped once and to repeat this
/// fraction (1 / divisor) of its critical path. Work without time for that is
/// unlikely to meet its objective.
constexpr milliseconds repeated_work_divisor = 2;

milliseconds expected_repeat(ordering_key const& c) noexcept
{
    return c.priority == 0 ? 0 : c.remaining_ms / repeated_work_divisor;
}

auto order_of(ordering_key const& c) noexcept
{
    return std::tuple(group_of(c), timeliness_of(c), c.priority, -c.age_ms);
}

} // namespace

timeliness timeliness_of(ordering_key const& c) noexcept
{
    auto const end = c.age_ms + c.remaining_ms;
    if (end + expected_repeat(c) <= c.objective_ms)
        return timeliness::on_time;
    return end <= expiry_objectives * c.objective_ms ? timeliness::late
                                                     : timeliness::expired;
}

queue_group group_of(ordering_key const& c) noexcept
{
    if (timeliness_of(c) == timeliness::expired)
        return queue_group::rest;
    if (c.priority == 0)
        return c.guaranteed ? queue_group::guaranteed : queue_group::urgent;
    return c.below_share ? queue_group::below_share : queue_group::rest;
}

milliseconds time_to_spare(ordering_key const& c) noexcept
{
    return expiry_objectives * c.objective_ms - c.age_ms - c.remaining_ms;
}

bool precedes(ordering_key const& a, ordering_key const& b) noexcept
{
    return order_of(a) < order_of(b);
}

std::vector<milliseconds> critical_paths_of(job_spec const& spec)
{
    std::vector<milliseconds> critical_paths(spec.steps.size(), 0);
    for (auto i = spec.steps.size(); i-- > 0;)
    {
        critical_paths[i] +=
            std::max<milliseconds>(spec.steps[i].estimate_ms, 1);
        for (int const before : spec.steps[i].after)
        {
            auto& earlier = critical_paths[static_cast<std::size_t>(before)];
            earlier = std::max(earlier, critical_paths[i]);
        }
    }
    return critical_paths;
}

milliseconds objective_of(queue const& q, job_spec const& spec)
{
    auto const critical_paths = critical_paths_of(spec);
    auto const longest =
        *std::max_element(critical_paths.begin(), critical_paths.end());
    return static_cast<milliseconds>(q.stretch * static_cast<double>(longest)) +
           q.latency_ms;
}

} // namespace jasminetrack::tasks
