#include <jasminetrack/tasks/dispatcher.hpp>

#include <jasminetrack/tasks/least_share.hpp>

#include <algorithm>

namespace jasminetrack::tasks
{
namespace
{

/// Work that has waited for so long leaves free what urgent work used lately,
/// without regard to its growth, unless the service is nearly full.
constexpr milliseconds long_wait_ms = 10'000;
constexpr double nearly_full = 0.75;

/// A worker whose capacity has shrunk may have less than nothing free.
resources at_least_none(resources const& r)
{
    return {std::max<std::int64_t>(0, r.millicores),
            std::max<std::int64_t>(0, r.memory_mb),
            std::max<std::int64_t>(0, r.accelerators)};
}

} // namespace

std::map<std::string, dispatcher::accelerator_count>
dispatcher::count_accelerators() const
{
    std::map<std::string, accelerator_count> counts;
    for (auto const& [id, w] : workers_)
    {
        auto& count = counts[w.info.service];
        if (w.takes_new_work())
        {
            ++count.workers;
            count.isolating +=
                w.hosts_isolated_run() || cleared_workers_.count(id) != 0 ? 1
                                                                          : 0;
            count.capacity += w.info.capacity.accelerators;
            count.free += at_least_none(w.free_capacity()).accelerators;
            count.load.free += at_least_none(w.free_capacity() + w.reserved);
            count.load.capacity += w.info.capacity;
        }
        for (auto const& [run, o] : w.hosted_runs)
            if (auto const job = jobs_.find(o.unit.job);
                job != jobs_.end() && !o.ending)
            {
                count.held[job->second.priority] += o.held.accelerators;
                count.lent += o.lent ? o.held.accelerators : 0;
            }
        count.urgent += w.reserved.accelerators;
    }
    auto const lower = lower_priorities();
    for (auto& [service, count] : counts)
    {
        count.urgent += count.held[0];
        if (auto const at = lower.find(service); at != lower.end())
            count.least_share =
                least_share(count.capacity, std::ssize(at->second));
    }
    return counts;
}

/// \returns by service the lower priorities that have unfinished jobs.
std::map<std::string, std::set<std::int64_t>>
dispatcher::lower_priorities() const
{
    std::map<std::string, std::set<std::int64_t>> lower;
    for (auto const& [id, e] : jobs_)
        if (e.priority != 0 && !is_final(e.progress.phase))
            lower[e.service].insert(e.priority);
    return lower;
}

bool dispatcher::is_below_share(std::string const& service,
                                std::int64_t priority, std::int64_t less) const
{
    auto const count = counts_.find(service);
    if (priority == 0 || count == counts_.end())
        return false;
    auto const held = count->second.held.find(priority);
    return (held == count->second.held.end() ? 0 : held->second) - less <
           count->second.least_share;
}

bool dispatcher::may_use(milliseconds now, job_entry const& e,
                         std::string const& service, unit_need const& need)
{
    return e.priority == 0 || !need.may_wait ||
           is_below_share(service, e.priority) ||
           leaves_headroom(now, service, need);
}

bool dispatcher::leaves_headroom(milliseconds now, std::string const& service,
                                 unit_need const& need)
{
    auto const left = counts_[service].free - need.accelerators();
    auto const& headroom = headroom_[service];
    bool const is_long =
        need.waited_ms >= long_wait_ms &&
        used_accelerators_share(counts_[service].load) < nearly_full;
    return left >= (is_long ? headroom.recent(now) : headroom.required(now));
}

} // namespace jasminetrack::tasks
