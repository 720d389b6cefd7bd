#include <jasminetrack/tasks/placement_advice.hpp>

namespace jasminetrack::tasks
{
namespace
{

/// A ticket must still be valid when the start that carries it arrives.
constexpr milliseconds ticket_margin_ms = 300;
/// Between a call that failed or was turned away and the next.
constexpr milliseconds failed_rest_ms = 300;

} // namespace

std::string const* placement_advice::ticket(milliseconds now,
                                            step_ref const& step,
                                            std::string const& worker,
                                            std::int64_t incarnation) const
{
    auto const at = steps_.find(step);
    if (at == steps_.end())
        return nullptr;
    auto const grant = at->second.good.find(worker);
    if (grant == at->second.good.end() || grant->second.incarnation != incarnation ||
        now >= grant->second.until)
        return nullptr;
    return &grant->second.ticket;
}

bool placement_advice::is_refused(step_ref const& step,
                                  std::string const& worker) const
{
    auto const at = steps_.find(step);
    return at != steps_.end() && at->second.refused.count(worker) != 0;
}

bool placement_advice::may_ask(milliseconds now) const noexcept
{
    return !asking_ && now >= rest_until_;
}

void placement_advice::on_asked(advice_order const&,
                                std::map<std::string, std::int64_t> lives)
{
    asking_ = true;
    asked_lives_ = std::move(lives);
}

void placement_advice::on_reply(milliseconds now, advice_reply const& r)
{
    asking_ = false;
    if (r.result != call_result::done)
    {
        rest_until_ = now + failed_rest_ms;
        return;
    }
    auto& step = steps_[r.step];
    for (auto const& [worker, born] : asked_lives_)
        if (r.good.count(worker) == 0)
            step.refused.insert(worker);
    for (auto const& [worker, ticket] : r.good)
        step.good[worker] = {ticket, asked_lives_[worker],
                             now + r.valid_ms - ticket_margin_ms};
}

void placement_advice::forget(std::string const& job)
{
    auto at = steps_.lower_bound({job, 0, 0});
    while (at != steps_.end() && at->first.job == job)
        at = steps_.erase(at);
}

} // namespace jasminetrack::tasks
