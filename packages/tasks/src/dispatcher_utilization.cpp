#include <jasminetrack/tasks/dispatcher.hpp>

#include <cmath>
#include <utility>

namespace jasminetrack::tasks
{
namespace
{

/// Limits the volume of the log.
constexpr milliseconds utilization_interval_ms = 1'000;

void count_departures(milliseconds now, std::string const& service,
                      detail::departure_state const& departures,
                      service_utilization& c)
{
    c.departures_per_minute = static_cast<std::int64_t>(
        std::llround(departures.history.per_minute(now, service)));
    auto const at = departures.losses.find(service);
    if (at == departures.losses.end())
        return;
    c.departed_runs = at->second.runs;
    c.departed_core_seconds =
        static_cast<std::int64_t>(at->second.core_seconds);
}

/// \returns the service of a gang that wants one rack but spans several, or
/// nothing for any other run.
std::optional<std::string>
service_of_spread_gang(detail::active_run const& a, step_spec const& step,
                       std::map<std::string, worker_view> const& workers)
{
    if (a.over || !step.same_rack)
        return std::nullopt;
    std::set<std::string> racks;
    std::string service;
    for (auto const& m : a.members)
    {
        auto const w = workers.find(m.worker);
        if (w == workers.end())
            continue;
        racks.insert(w->second.info.rack);
        service = w->second.info.service;
    }
    return racks.size() > 1 ? std::optional(service) : std::nullopt;
}

/// \param unfit  why nothing is started on the worker; nothing if it may
void count_worker(worker_view const& w, std::optional<unfit_reason> unfit,
                  std::map<std::string, detail::job_entry> const& jobs,
                  service_utilization& c)
{
    if (w.listed)
        c.capacity += w.info.capacity.accelerators;
    auto const free = std::max<std::int64_t>(0, w.free_capacity().accelerators);
    (unfit ? c.unfit : c.free) += w.listed ? free : 0;
    if (unfit && w.listed && free > 0)
        c.unfit_by[*unfit] += free;
    c.evacuated_runs += w.evacuated ? std::ssize(w.hosted_runs) : 0;
    c.reserved += w.reserved.accelerators;
    for (auto const& [run, o] : w.hosted_runs)
        if (auto const job = jobs.find(o.unit.job); job != jobs.end())
        {
            c.priorities[job->second.priority].held += o.held.accelerators;
            c.lent += o.lent ? o.held.accelerators : 0;
        }
}

} // namespace

/// Completes the utilization if an update is due. The scheduling pass has
/// already counted the waiting steps.
void dispatcher::update_utilization(milliseconds now)
{
    if (now - utilization_.updated_at < utilization_interval_ms)
        return;
    utilization_.updated_at = now;
    auto utilization = std::exchange(utilization_.pending, {});
    for (auto const& [id, w] : workers_)
    {
        auto& c = utilization[w.info.service];
        count_worker(w, unfit_reason_of(now, w), jobs_, c);
        if (w.listed && limits_.learn_speeds)
            ++c.speeds[speed_of(now, w)];
    }
    for (auto const& [ref, a] : active_)
    {
        auto const& step = step_of(jobs_.at(ref.job), ref);
        if (auto const service = service_of_spread_gang(a, step, workers_))
            utilization[*service].spread +=
                std::ssize(a.members) * step.need.accelerators;
    }
    for (auto& [service, c] : utilization)
    {
        c.headroom = shares_.headroom(now, service);
        c.least_share = shares_.count_of(service).least_share;
        c.held_units = holds_.units[service];
        count_departures(now, service, departures_, c);
        if (utilization_.newest[service] != c)
            log_decision("service.room", "",
                         "service=" + service + " " + to_text(c));
    }
    utilization_.newest = std::move(utilization);
}

} // namespace jasminetrack::tasks
