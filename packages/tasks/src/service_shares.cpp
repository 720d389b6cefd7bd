#include <jasminetrack/tasks/detail/service_shares.hpp>

#include <jasminetrack/tasks/least_share.hpp>

#include <algorithm>
#include <utility>

namespace jasminetrack::tasks::detail
{
namespace
{

/// Work that has waited for so long leaves free what urgent work used lately,
/// without regard to its growth, unless the service is nearly full.
constexpr milliseconds long_wait_ms = 10'000;
constexpr double nearly_full = 0.75;
/// Added to the longest duration of a stop: the start that follows it.
constexpr milliseconds start_after_stop_ms = 300;
/// Of the workers of a service, one in so many may be cleared or start
/// suspects, as the others have to start everything else.
constexpr std::int64_t isolating_share = 4;

/// A worker whose capacity has shrunk may have less than nothing free.
resources at_least_none(resources const& r)
{
    return {std::max<std::int64_t>(0, r.millicores),
            std::max<std::int64_t>(0, r.memory_mb),
            std::max<std::int64_t>(0, r.accelerators)};
}

/// \returns by service the lower priorities that have unfinished jobs.
std::map<std::string, std::set<std::int64_t>>
lower_priorities(std::map<std::string, job_entry> const& jobs)
{
    std::map<std::string, std::set<std::int64_t>> lower;
    for (auto const& [id, e] : jobs)
        if (e.priority != 0 && !is_final(e.progress.phase))
            lower[e.service].insert(e.priority);
    return lower;
}

lending_unit lending_unit_of(std::int64_t priority, unit_need const& need)
{
    return {priority, need.accelerators(), need.lasting, need.checkpoints,
            need.estimate_ms};
}

} // namespace

std::map<std::string, accelerator_count>
count_accelerators(std::map<std::string, worker_view> const& workers,
                   std::map<std::string, job_entry> const& jobs,
                   std::set<std::string> const& cleared)
{
    std::map<std::string, accelerator_count> counts;
    for (auto const& [id, w] : workers)
    {
        auto& count = counts[w.info.service];
        if (w.takes_new_work())
        {
            ++count.workers;
            count.isolating +=
                w.hosts_isolated_run() || cleared.count(id) != 0 ? 1 : 0;
            count.capacity += w.info.capacity.accelerators;
            count.free += at_least_none(w.free_capacity()).accelerators;
            count.load.free += at_least_none(w.free_capacity() + w.reserved);
            count.load.capacity += w.info.capacity;
        }
        for (auto const& [run, o] : w.hosted_runs)
            if (auto const job = jobs.find(o.unit.job);
                job != jobs.end() && !o.ending)
            {
                count.held[job->second.priority] += o.held.accelerators;
                count.lent += o.lent ? o.held.accelerators : 0;
            }
        count.urgent += w.reserved.accelerators;
    }
    auto const lower = lower_priorities(jobs);
    for (auto& [service, count] : counts)
    {
        count.urgent += count.held[0];
        if (auto const at = lower.find(service); at != lower.end())
            count.least_share =
                least_share(count.capacity, std::ssize(at->second));
    }
    return counts;
}

service_shares::service_shares(dispatch_limits const& limits)
    : lends_headroom_(limits.lend_headroom),
      stop_ms_(limits.max_stop_ms + start_after_stop_ms)
{
}

void service_shares::begin_pass(milliseconds now,
                                std::map<std::string, accelerator_count> counts)
{
    counts_ = std::move(counts);
    for (auto const& [service, count] : counts_)
        headroom_[service].record(now, count.urgent);
    record_urgent_use(now);
}

void service_shares::record_urgent_use(milliseconds now)
{
    if (!lends_headroom_)
        return;
    for (auto const& [service, count] : counts_)
        urgent_history_.try_emplace(service, stop_ms_)
            .first->second.record(now, count.urgent);
}

accelerator_count const* service_shares::find(std::string const& service) const
{
    auto const at = counts_.find(service);
    return at == counts_.end() ? nullptr : &at->second;
}

void service_shares::deduct(std::string const& service, resources const& total)
{
    counts_[service].free -= total.accelerators;
    counts_[service].load.free -= total;
}

std::int64_t service_shares::headroom(milliseconds now,
                                      std::string const& service) const
{
    auto const at = headroom_.find(service);
    return at == headroom_.end() ? 0 : at->second.required(now);
}

bool service_shares::is_below_share(std::string const& service,
                                    std::int64_t priority,
                                    std::int64_t less) const
{
    auto const* const count = find(service);
    if (priority == 0 || !count)
        return false;
    auto const held = count->held.find(priority);
    return (held == count->held.end() ? 0 : held->second) - less <
           count->least_share;
}

bool service_shares::may_use(milliseconds now, std::string const& service,
                             std::int64_t priority, unit_need const& need)
{
    return priority == 0 || !need.may_wait ||
           is_below_share(service, priority) ||
           leaves_headroom(now, service, need);
}

bool service_shares::leaves_headroom(milliseconds now,
                                     std::string const& service,
                                     unit_need const& need)
{
    auto const left = counts_[service].free - need.accelerators();
    auto const& headroom = headroom_[service];
    bool const is_long =
        need.waited_ms >= long_wait_ms &&
        used_accelerators_share(counts_[service].load) < nearly_full;
    return left >= (is_long ? headroom.recent(now) : headroom.required(now));
}

headroom_state service_shares::headroom_of(milliseconds now,
                                           std::string const& service) const
{
    auto const& count = counts_.at(service);
    auto const& history = urgent_history_.at(service);
    return {headroom_.at(service).required(now), history.growth(now),
            count.free, count.lent, history.next_peak(now)};
}

bool service_shares::may_borrow(milliseconds now, std::string const& service,
                                std::int64_t priority,
                                unit_need const& need) const
{
    // A service without workers has no history.
    return !need.isolated && urgent_history_.count(service) != 0 &&
           counts_.count(service) != 0 &&
           decide_lending(headroom_of(now, service),
                          lending_unit_of(priority, need))
               .allowed;
}

std::string service_shares::lending_text(milliseconds now,
                                         std::string const& service,
                                         std::int64_t priority,
                                         unit_need const& need) const
{
    auto const state = headroom_of(now, service);
    auto const unit = lending_unit_of(priority, need);
    return to_text(state, unit, decide_lending(state, unit));
}

std::int64_t service_shares::max_isolating(std::string const& service) const
{
    auto const* const count = find(service);
    auto const workers = count ? count->workers : 0;
    return std::max<std::int64_t>(1, workers / isolating_share);
}

/// A gang may need more workers, so it goes ahead while there are no others.
bool service_shares::may_isolate(std::string const& service,
                                 std::int64_t workers)
{
    auto const isolating = counts_[service].isolating;
    return isolating == 0 || isolating + workers <= max_isolating(service);
}

} // namespace jasminetrack::tasks::detail
