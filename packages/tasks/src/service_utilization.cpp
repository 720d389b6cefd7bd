#include <jasminetrack/tasks/service_utilization.hpp>

namespace jasminetrack::tasks
{
namespace
{

std::string by_priority(service_utilization const& c,
                        std::int64_t priority_utilization::*which)
{
    std::string text;
    for (auto const& [priority, p] : c.priorities)
        text += (text.empty() ? "" : ",") + std::to_string(priority) + ":" +
                std::to_string(p.*which);
    return text;
}

std::string speeds_text(service_utilization const& c)
{
    std::string text;
    for (auto const& [speed, workers] : c.speeds)
        text += (text.empty() ? " speeds=" : ",") +
                std::string(to_text(speed)) + ":" + std::to_string(workers);
    return text;
}

std::string departures_of(service_utilization const& c)
{
    if (c.departures_per_minute == 0 && c.departed_runs == 0)
        return "";
    return " departures_per_minute=" + std::to_string(c.departures_per_minute) +
           " departed_runs=" + std::to_string(c.departed_runs) +
           " departed_core_s=" + std::to_string(c.departed_core_seconds);
}

} // namespace

std::string to_text(service_utilization const& c)
{
    return "capacity=" + std::to_string(c.capacity) +
           " free=" + std::to_string(c.free) +
           " unfit=" + std::to_string(c.unfit) +
           " reserved=" + std::to_string(c.reserved) +
           " headroom=" + std::to_string(c.headroom) +
           " lent=" + std::to_string(c.lent) +
           " least_share=" + std::to_string(c.least_share) +
           " spread=" + std::to_string(c.spread) +
           " evacuated_runs=" + std::to_string(c.evacuated_runs) +
           " held=" + by_priority(c, &priority_utilization::held) +
           " waiting=" + by_priority(c, &priority_utilization::waiting) +
           " kept_out=" + by_priority(c, &priority_utilization::kept_out) +
           " no_room=" + by_priority(c, &priority_utilization::no_room) +
           " unfit_by=" + to_text(c.unfit_by) +
           " held_units=" + to_text(c.held_units) + speeds_text(c) +
           departures_of(c);
}

} // namespace jasminetrack::tasks
