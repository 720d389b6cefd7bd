#include <jasminetrack/tasks/dispatcher.hpp>

namespace jasminetrack::tasks
{

void dispatcher::set_slower_workers(milliseconds now,
                                    std::vector<slower_worker> const& slower)
{
    if (!limits_.learn_speeds)
        return;
    speeds_.assume(now, slower);
    speed_writer_.on_read(slower);
    changed_ = true;
    log_decision("worker.speeds.read", "",
                 "slower=" + std::to_string(slower.size()));
}

/// A cold worker, a task far from its data and one that only fills idle
/// processor time are slow for reasons other than the machine.
void dispatcher::observe_speed(milliseconds now, worker_view const& w,
                               unit_ref const& ref, member const& m,
                               milliseconds clock_ms, std::int64_t percent)
{
    auto const& step = step_of(jobs_.at(ref.job), ref);
    bool const is_far = !step.rack.empty() && step.rack != w.info.rack;
    if (!limits_.learn_speeds || step.lasting || step.filling || is_far ||
        w.is_cold(now))
        return;
    auto const& a = active_.at(ref);
    speed_report r;
    r.worker = w.info.id;
    r.incarnation = w.info.incarnation;
    r.service = w.info.service;
    r.kind = w.info.labels.empty() ? "" : w.info.labels.front();
    r.group = {{ref.job, ref.unit.occurrence, ref.unit.step},
               step.gang ? a.run : 0};
    r.index = step.gang ? &m - a.members.data() : ref.unit.index;
    r.run = a.run;
    r.clock_ms = clock_ms;
    r.percent = percent;
    speeds_.observe(now, r);
}

void dispatcher::update_speeds(milliseconds now)
{
    if (!limits_.learn_speeds)
        return;
    for (auto const& c : speeds_.update(now))
    {
        changed_ = true;
        log_decision("worker.pace", "",
                     "worker=" + c.worker +
                         " speed=" + to_text(c.estimate.speed) +
                         " factor=" + std::to_string(c.estimate.factor) +
                         " samples=" + std::to_string(c.estimate.samples) +
                         " spread=" + std::to_string(c.estimate.spread) +
                         " prior=" + std::to_string(c.estimate.prior));
    }
}

/// A faulty worker is found by its latest task, with or without the setting.
worker_speed dispatcher::speed_of(milliseconds now, worker_view const& w) const
{
    auto const pace = w.pace.speed(now);
    if (!limits_.learn_speeds || pace == worker_speed::crawling)
        return pace;
    return speeds_.estimate_of(w.info.id, w.info.incarnation).speed;
}

speed_preference dispatcher::preferred_speeds(milliseconds now,
                                              job_entry const& e,
                                              unit_ref const& ref) const
{
    if (!limits_.learn_speeds)
        return speed_preference::none;
    auto const key = ordering_key_of(now, e, ref.unit);
    return preference_of({key.priority, key.age_ms, key.remaining_ms,
                          key.objective_ms, speeds_.slow_factor()});
}

} // namespace jasminetrack::tasks
