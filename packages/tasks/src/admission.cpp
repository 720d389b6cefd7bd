#include <jasminetrack/tasks/admission.hpp>

#include <jasminetrack/tasks/queue_order.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace jasminetrack::tasks
{
namespace
{

constexpr double ms_per_s = 1'000;
/// A job is refused if its estimated time to the end exceeds this multiple of
/// the time until it expires.
constexpr double refusal_factor = 1.5;
/// Below this utilization, jobs are accepted without an estimate.
constexpr double max_use_without_estimate = 0.5;
/// Longest burst of urgent work that is expected.
constexpr double max_burst_s = 8;
/// Upper bound of estimated waits.
constexpr double max_wait_s = 3'600;

/// The parts of the job and of the accepted work that need one resource.
struct resource_need
{
    std::int64_t priority = 0;
    double work_core_s = 0;
    /// Accepted work of each priority.
    std::map<std::int64_t, double> accepted;
};

bool has_room(resource_load const& load) noexcept
{
    return load.used_cores < max_use_without_estimate * load.capacity_cores;
}

/// \returns the core-seconds of one priority's waiting jobs that are placed
/// before a job of the same priority. Of each job that needs less than the new
/// one, that is its work, so in total at most the new one's work for each.
double queued_before(resource_need const& need, priority_load const& p)
{
    return std::min(p.queued_core_s,
                    static_cast<double>(p.queued_jobs) * need.work_core_s);
}

double work_before(resource_need const& need, resource_load const& load)
{
    double work = 0;
    for (auto const& [priority, p] : load.priorities)
        if (priority < need.priority)
            work += p.queued_core_s;
        else if (priority == need.priority)
            work += queued_before(need, p);
    for (auto const& [priority, accepted] : need.accepted)
        if (priority <= need.priority)
            work += accepted;
    return work;
}

double running_work(resource_load const& load)
{
    double work = 0;
    for (auto const& [priority, p] : load.priorities)
        work += p.running_core_s;
    return work;
}

/// \returns the seconds in which the free capacity, and what running work frees
/// at a constant rate until its end, have completed `work`.
double time_for(double work, resource_load const& load)
{
    auto const free =
        std::max(0.0, load.capacity_cores - load.used_cores - load.kept_cores);
    auto const rate = load.freed_cores_per_s;
    auto const running = running_work(load);
    if (work <= 0)
        return 0;
    auto const freed_in = rate > 0 ? std::sqrt(2 * running / rate) : 0;
    auto const until_freed = free * freed_in + running;
    if (rate > 0 && work <= until_freed)
        return (std::sqrt(free * free + 2 * rate * work) - free) / rate;
    auto const cores = free + rate * freed_in;
    if (cores <= 0)
        return max_wait_s;
    return std::min(max_wait_s, freed_in + (work - until_freed) / cores);
}

/// A priority below its least share does not wait for higher ones, except for
/// urgent work.
/// \param own  core-seconds to complete after the work before the job
double time_by_share(resource_need const& need, resource_load const& load,
                     double own)
{
    if (load.least_share_cores <= 0)
        return max_wait_s;
    auto work = own;
    if (auto const at = load.priorities.find(need.priority);
        at != load.priorities.end())
        work += queued_before(need, at->second) + at->second.running_core_s;
    if (auto const at = need.accepted.find(need.priority);
        at != need.accepted.end())
        work += at->second;
    return work / load.least_share_cores;
}

/// \returns the cores that urgent work uses, by its part of the running work.
double urgent_cores(resource_load const& load)
{
    auto const urgent = load.priorities.find(0);
    auto const running = running_work(load);
    if (urgent == load.priorities.end() || running <= 0)
        return 0;
    auto const cores = std::sqrt(2 * running * load.freed_cores_per_s);
    return cores * urgent->second.running_core_s / running;
}

/// \returns the time for this work and the urgent work that arrives meanwhile:
/// for the length of a burst it is expected to use as much as now.
double time_with_urgent(double work, resource_load const& load)
{
    constexpr int rounds = 5;
    auto const urgent = urgent_cores(load);
    auto time = time_for(work, load);
    for (int i = 0; i < rounds; ++i)
        time = time_for(work + urgent * std::min(time, max_burst_s), load);
    return time;
}

struct end_estimate
{
    double wait_s = 0; ///< until the work before it has its capacity
    double own_s = 0;  ///< until the service has completed its work, too
};

/// \returns the times without regard to the job's critical path.
end_estimate estimate(resource_need const& need, resource_load const& load)
{
    if (need.work_core_s <= 0 || load.capacity_cores <= 0)
        return {};
    auto const before = work_before(need, load);
    return {
        std::min(time_with_urgent(before, load), time_by_share(need, load, 0)),
        std::min(time_with_urgent(before + need.work_core_s, load),
                 time_by_share(need, load, need.work_core_s))};
}

std::map<std::int64_t, double> part_of(accepted_by_priority const& accepted,
                                       double accepted_work::*part)
{
    std::map<std::int64_t, double> work;
    for (auto const& [priority, a] : accepted)
        work[priority] = a.*part;
    return work;
}

milliseconds to_ms(double seconds)
{
    return static_cast<milliseconds>(seconds * ms_per_s);
}

/// \returns why the job is accepted without an estimate of its end.
std::optional<admission_reason>
reason_without_estimate(admission_need const& need, service_reading const* load,
                        milliseconds age_ms)
{
    if (need.priority == 0)
        return admission_reason::urgent;
    if (!need.has_end)
        return admission_reason::no_end;
    if (!load || age_ms > max_reading_age_ms || age_ms < 0)
        return admission_reason::no_reading;
    bool const has_accelerators =
        need.accelerator_s <= 0 || has_room(load->accelerators);
    if (has_room(load->cores) && has_accelerators)
        return admission_reason::room;
    return std::nullopt;
}

} // namespace

char const* to_text(admission_reason r) noexcept
{
    constexpr std::array names{"urgent", "no_end",       "no_reading",
                               "room",   "ends_in_time", "ends_too_late"};
    return names[static_cast<std::size_t>(r)];
}

admission_need admission_need_of(queue const& q, job_spec const& spec)
{
    admission_need need;
    need.priority = q.priority;
    need.has_end = spec.occurrences == 0;
    for (auto const& s : spec.steps)
    {
        auto const time = s.count * std::max<milliseconds>(s.estimate_ms, 1);
        need.core_s += s.filling ? 0 : core_work(s.need, time);
        need.accelerator_s += accelerator_work(s.need, time);
        need.has_end = need.has_end && !s.lasting;
    }
    auto const paths = critical_paths_of(spec);
    need.critical_path_ms = *std::max_element(paths.begin(), paths.end());
    need.objective_ms = objective_of(q, spec);
    return need;
}

admission_verdict judge_admission(admission_need const& need,
                                  service_reading const* load,
                                  milliseconds age_ms,
                                  accepted_by_priority const& accepted)
{
    admission_verdict v;
    v.expiry_ms = expiry_objectives * need.objective_ms;
    if (auto const reason = reason_without_estimate(need, load, age_ms))
    {
        v.reason = *reason;
        return v;
    }
    auto const cores = estimate(
        {need.priority, need.core_s, part_of(accepted, &accepted_work::core_s)},
        load->cores);
    auto const accelerators =
        estimate({need.priority, need.accelerator_s,
                  part_of(accepted, &accepted_work::accelerator_s)},
                 load->accelerators);
    auto const since_reading = [&](double seconds)
    { return std::max<milliseconds>(0, to_ms(seconds) - age_ms); };
    auto const wait_ms =
        since_reading(std::max(cores.wait_s, accelerators.wait_s));
    v.end_ms =
        std::max(wait_ms + need.critical_path_ms,
                 since_reading(std::max(cores.own_s, accelerators.own_s)));
    v.wait_ms = v.end_ms - need.critical_path_ms;
    bool const too_late = static_cast<double>(v.end_ms) >
                          refusal_factor * static_cast<double>(v.expiry_ms);
    v.reason = too_late ? admission_reason::ends_too_late
                        : admission_reason::ends_in_time;
    return v;
}

} // namespace jasminetrack::tasks
