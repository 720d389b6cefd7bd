#include <jasminetrack/tasks/hold_tracker.hpp>

namespace jasminetrack::tasks
{

std::vector<hold_change>
hold_tracker::update(milliseconds now,
                     std::map<std::string, hold_reason> const& held)
{
    std::vector<hold_change> changes;
    for (auto at = jobs_.begin(); at != jobs_.end();)
    {
        auto const& [id, job] = *at;
        bool const is_held = held.count(id) != 0;
        if (!is_held && job.reported)
            changes.push_back({id, std::nullopt, now - job.since});
        at = is_held ? std::next(at) : jobs_.erase(at);
    }
    std::size_t reports = 0;
    for (auto const& [id, reason] : held)
    {
        auto& job = jobs_.try_emplace(id, held_job{now, {}}).first->second;
        auto const held_ms = now - job.since;
        if (held_ms < min_held_ms || job.reported == reason ||
            reports == max_reports)
            continue;
        ++reports;
        job.reported = reason;
        changes.push_back({id, reason, held_ms});
    }
    return changes;
}

} // namespace jasminetrack::tasks
