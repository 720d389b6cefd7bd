#include <jasminetrack/tasks/dispatcher.hpp>

namespace jasminetrack::tasks
{
namespace
{

/// Added to the longest duration of a stop: the start that follows it.
constexpr milliseconds start_after_stop_ms = 300;

} // namespace

void dispatcher::record_urgent_use(milliseconds now)
{
    if (!limits_.lend_headroom)
        return;
    auto const stop_ms = limits_.max_stop_ms + start_after_stop_ms;
    for (auto const& [service, count] : counts_)
        urgent_history_.try_emplace(service, stop_ms)
            .first->second.record(now, count.urgent);
}

headroom_state dispatcher::headroom_of(milliseconds now,
                                       std::string const& service) const
{
    auto const& count = counts_.at(service);
    auto const& history = urgent_history_.at(service);
    return {headroom_.at(service).required(now), history.growth(now),
            count.free, count.lent, history.next_peak(now)};
}

bool dispatcher::may_borrow(milliseconds now, job_entry const& e,
                            std::string const& service,
                            unit_need const& need) const
{
    // A service without workers has no history.
    return !need.isolated && urgent_history_.count(service) != 0 &&
           counts_.count(service) != 0 &&
           decide_lending(headroom_of(now, service), lending_unit_of(e, need))
               .allowed;
}

lending_unit dispatcher::lending_unit_of(job_entry const& e,
                                         unit_need const& need)
{
    return {e.priority, need.accelerators(), need.lasting, need.checkpoints,
            need.estimate_ms};
}

void dispatcher::log_lending(milliseconds now, job_entry const& e,
                             unit_ref const& ref, std::string const& service,
                             unit_need const& need) const
{
    auto const state = headroom_of(now, service);
    auto const unit = lending_unit_of(e, need);
    log_decision("unit.lend", ref.job,
                 "step=" + std::to_string(ref.unit.step) +
                     " index=" + std::to_string(ref.unit.index) + " " +
                     to_text(state, unit, decide_lending(state, unit)));
}

} // namespace jasminetrack::tasks
