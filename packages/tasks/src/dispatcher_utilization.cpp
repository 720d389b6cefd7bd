#include <jasminetrack/tasks/dispatcher.hpp>

#include <cmath>
#include <utility>

namespace jasminetrack::tasks
{
namespace
{

/// Limits the volume of the log.
constexpr milliseconds utilization_interval_ms = 1'000;

} // namespace

/// Completes the utilization if an update is due. The scheduling pass has
/// already counted the waiting steps.
void dispatcher::update_utilization(milliseconds now)
{
    if (now - utilization_at_ < utilization_interval_ms)
        return;
    utilization_at_ = now;
    auto utilization = std::exchange(pending_utilization_, {});
    for (auto const& [id, w] : workers_)
        count_worker(now, w, utilization[w.info.service]);
    for (auto const& [ref, a] : active_)
        if (auto const service = service_of_spread_gang(ref, a))
            utilization[*service].spread +=
                std::ssize(a.members) *
                step_of(jobs_.at(ref.job), ref).need.accelerators;
    for (auto& [service, c] : utilization)
    {
        c.headroom = headroom_[service].required(now);
        c.least_share = counts_[service].least_share;
        c.held_units = held_units_[service];
        count_departures(now, service, c);
        if (utilization_[service] != c)
            log_decision("service.room", "",
                         "service=" + service + " " + to_text(c));
    }
    utilization_ = std::move(utilization);
}

void dispatcher::count_worker(milliseconds now, worker_view const& w,
                              service_utilization& c) const
{
    if (w.listed)
        c.capacity += w.info.capacity.accelerators;
    if (w.listed && limits_.learn_speeds)
        ++c.speeds[speed_of(now, w)];
    auto const free = std::max<std::int64_t>(0, w.free_capacity().accelerators);
    auto const unfit = unfit_reason_of(now, w);
    (unfit ? c.unfit : c.free) += w.listed ? free : 0;
    if (unfit && w.listed && free > 0)
        c.unfit_by[*unfit] += free;
    c.evacuated_runs += w.evacuated ? std::ssize(w.hosted_runs) : 0;
    c.reserved += w.reserved.accelerators;
    for (auto const& [run, o] : w.hosted_runs)
        if (auto const job = jobs_.find(o.unit.job); job != jobs_.end())
        {
            c.priorities[job->second.priority].held += o.held.accelerators;
            c.lent += o.lent ? o.held.accelerators : 0;
        }
}

void dispatcher::count_departures(milliseconds now, std::string const& service,
                                  service_utilization& c) const
{
    c.departures_per_minute = static_cast<std::int64_t>(
        std::llround(departures_.history.per_minute(now, service)));
    auto const at = departures_.losses.find(service);
    if (at == departures_.losses.end())
        return;
    c.departed_runs = at->second.runs;
    c.departed_core_seconds =
        static_cast<std::int64_t>(at->second.core_seconds);
}

/// \returns the service of a gang that wants one rack but spans several, or
/// nothing for any other run.
std::optional<std::string>
dispatcher::service_of_spread_gang(unit_ref const& ref,
                                   active_run const& a) const
{
    if (a.over || !step_of(jobs_.at(ref.job), ref).same_rack)
        return std::nullopt;
    std::set<std::string> racks;
    std::string service;
    for (auto const& m : a.members)
    {
        auto const w = workers_.find(m.worker);
        if (w == workers_.end())
            continue;
        racks.insert(w->second.info.rack);
        service = w->second.info.service;
    }
    return racks.size() > 1 ? std::optional(service) : std::nullopt;
}

void dispatcher::count_waiting_step(job_entry const& e,
                                    std::int64_t priority_utilization::*as)
{
    ++(pending_utilization_[e.service].priorities[e.priority].*as);
}

} // namespace jasminetrack::tasks
