#include "waiting_work.hpp"

#include <jasminetrack/tasks/cost_of_delay.hpp>
#include <jasminetrack/tasks/dispatcher.hpp>

#include <algorithm>
#include <cmath>

namespace jasminetrack::tasks
{
namespace
{

constexpr milliseconds second_ms = 1'000;
/// Progress from which the end of a run is projected.
constexpr std::int64_t min_percent = 10;
constexpr std::int64_t hundred = 100;
/// A run that exceeds its estimate is expected to take this part of it longer.
constexpr std::int64_t overrun_divisor = 10;

milliseconds expected_rest(milliseconds ran, milliseconds estimate,
                           std::int64_t percent)
{
    if (percent >= min_percent)
        return ran * std::max<std::int64_t>(0, hundred - percent) / percent;
    return std::max(estimate - ran, estimate / overrun_divisor);
}

/// \returns the time that the service needs for the queued work at least.
milliseconds least_wait(resource_load const& load)
{
    double work = 0;
    for (auto const& [priority, p] : load.priorities)
        work += p.queued_core_s;
    return load.capacity_cores <= 0
               ? 0
               : static_cast<milliseconds>(work / load.capacity_cores *
                                           static_cast<double>(second_ms));
}

bool expires_in_queue(ordering_key key, milliseconds wait)
{
    key.age_ms += wait;
    return timeliness_of(key) == timeliness::expired;
}

/// Expects the ends of the running work to be spread evenly over twice its mean
/// remaining time. `freed_cores_per_s` holds the cores of that work until then.
void set_freed_rate(resource_load& load)
{
    auto const running = load.freed_cores_per_s;
    double work = 0;
    for (auto const& [priority, p] : load.priorities)
        work += p.running_core_s;
    load.freed_cores_per_s = work > 0 ? running * running / (2 * work) : 0;
}

/// \returns a reading without work.
service_reading capacity_of(detail::accelerator_count const& count)
{
    auto const& capacity = count.load.capacity;
    auto const used = capacity - count.load.free;
    service_reading load;
    load.cores.capacity_cores = core_work(capacity, second_ms);
    load.cores.used_cores = core_work(used, second_ms);
    load.accelerators.capacity_cores = accelerator_work(capacity, second_ms);
    load.accelerators.used_cores = accelerator_work(used, second_ms);
    load.accelerators.least_share_cores =
        cores_per_accelerator * static_cast<double>(count.least_share);
    return load;
}

} // namespace

load_reading dispatcher::read_load(milliseconds now) const
{
    load_reading reading;
    reading.taken_ms = now + wall_offset_ms_;
    for (auto const& [service, count] : shares_.counts())
    {
        auto& load = reading.services[service];
        load = capacity_of(count);
        load.accelerators.kept_cores =
            cores_per_accelerator *
            static_cast<double>(shares_.headroom(now, service));
    }
    // In the queue order, as work that expires before its turn is left out.
    std::vector<std::pair<ordering_key, job_entry const*>> waiting;
    for (auto const& [id, e] : jobs_)
    {
        auto const first =
            std::find_if(e.progress.units.begin(), e.progress.units.end(),
                         [](auto const& unit)
                         { return unit.second.phase == unit_phase::waiting; });
        if (is_final(e.progress.phase) || first == e.progress.units.end())
            continue;
        waiting_units step;
        step.occurrence = first->first.occurrence;
        step.key = ordering_key_of(now, e, first->first);
        detail::set_waiting_work(e, std::span(&step, 1));
        waiting.emplace_back(step.key, &e);
    }
    std::stable_sort(waiting.begin(), waiting.end(),
                     [](auto const& a, auto const& b)
                     { return precedes_by_cost(a.first, b.first); });
    for (auto const& [key, e] : waiting)
        if (auto const at = reading.services.find(e->service);
            at != reading.services.end())
            add_waiting_work(now, *e, at->second);
    for (auto const& [ref, a] : active_)
        if (auto const at = reading.services.find(jobs_.at(ref.job).service);
            at != reading.services.end())
            add_running_work(now, ref, a, at->second);
    for (auto& [service, load] : reading.services)
    {
        set_freed_rate(load.cores);
        set_freed_rate(load.accelerators);
    }
    return reading;
}

/// Expired work is placed after all other work, so no new job waits for it, nor
/// for work that will have expired once the work before it is done.
void dispatcher::add_waiting_work(milliseconds now, job_entry const& e,
                                  service_reading& load) const
{
    double cores = 0;
    double accelerators = 0;
    auto const wait =
        std::max(least_wait(load.cores), least_wait(load.accelerators));
    for (auto const& [id, u] : e.progress.units)
    {
        auto const& step = e.job.spec.steps[static_cast<std::size_t>(id.step)];
        bool const is_due =
            e.job.spec.occurrences == 0 ||
            now + wall_offset_ms_ >= due_of(e.job, id.occurrence);
        if (u.phase != unit_phase::waiting || step.lasting || !is_due ||
            expires_in_queue(ordering_key_of(now, e, id), wait))
            continue;
        auto const time =
            detail::tasks_of_unit(step) * detail::estimate_of(step);
        cores += core_work(held_by(step), time);
        accelerators += accelerator_work(held_by(step), time);
    }
    auto const add = [&](resource_load& to, double work)
    {
        if (work <= 0)
            return;
        to.priorities[e.priority].queued_core_s += work;
        ++to.priorities[e.priority].queued_jobs;
    };
    add(load.cores, cores);
    add(load.accelerators, accelerators);
}

void dispatcher::add_running_work(milliseconds now, unit_ref const& ref,
                                  active_run const& a,
                                  service_reading& load) const
{
    auto const& e = jobs_.at(ref.job);
    auto const& step = step_of(e, ref);
    if ((step.lasting && !a.over) || a.members.empty())
        return;
    // What leaves with its worker frees no capacity.
    auto const staying = std::count_if(
        a.members.begin(), a.members.end(),
        [&](member const& m)
        {
            auto const w = workers_.find(m.worker);
            return w != workers_.end() && w->second.takes_new_work();
        });
    auto const slowest = std::min_element(a.members.begin(), a.members.end(),
                                          [](member const& x, member const& y)
                                          { return x.percent < y.percent; });
    auto const ran = now - (a.first_sent > 0 ? a.first_sent : a.placed_at);
    // The time before a take-over or a resumption is not known, so that the
    // progress of such a run does not show its speed.
    bool const is_whole = slowest->sent_before < 0 &&
                          e.progress.units.at(ref.unit).checkpoint.empty();
    auto const percent = is_whole ? slowest->percent : 0;
    auto const time =
        a.over ? limits_.max_stop_ms
               : expected_rest(ran, detail::estimate_of(step), percent);
    auto const held = staying * held_by(step);
    load.cores.priorities[e.priority].running_core_s += core_work(held, time);
    load.cores.freed_cores_per_s += core_work(held, second_ms);
    load.accelerators.priorities[e.priority].running_core_s +=
        accelerator_work(held, time);
    load.accelerators.freed_cores_per_s += accelerator_work(held, second_ms);
}

} // namespace jasminetrack::tasks
