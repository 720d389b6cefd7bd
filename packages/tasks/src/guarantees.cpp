#include <jasminetrack/tasks/guarantees.hpp>

#include <algorithm>

namespace jasminetrack::tasks
{
namespace
{

std::int64_t amount_of(accelerators_by_team const& amounts,
                       std::string const& team)
{
    auto const at = amounts.find(team);
    return at == amounts.end() ? 0 : at->second;
}

} // namespace

std::int64_t largest_need(job_spec const& spec)
{
    std::int64_t largest = 0;
    for (auto const& s : spec.steps)
        largest = std::max(largest, s.count * s.need.accelerators);
    return largest;
}

std::int64_t guarantee_of(configuration const& c, std::string const& team)
{
    for (auto const& t : c.teams)
        if (t.name == team)
            return t.guaranteed_accelerators;
    return 0;
}

accelerators_by_team excess_of(configuration const& c,
                               accelerators_by_team const& held)
{
    accelerators_by_team excess;
    for (auto const& [team, amount] : held)
        if (auto const beyond = amount - guarantee_of(c, team); beyond > 0)
            excess[team] = beyond;
    return excess;
}

bool is_guaranteed(configuration const& c, urgent_use const& use,
                   std::string const& team, std::int64_t accelerators)
{
    auto const guarantee = guarantee_of(c, team);
    return amount_of(use.wanted, team) <= guarantee ||
           amount_of(use.held, team) + accelerators <= guarantee;
}

} // namespace jasminetrack::tasks
