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
    if (grant == at->second.good.end() ||
        grant->second.incarnation != incarnation || now >= grant->second.until)
        return nullptr;
    return &grant->second.ticket;
}

bool placement_advice::is_refused(step_ref const& step,
                                  std::string const& worker) const
{
    auto const at = steps_.find(step);
    return at != steps_.end() && at->second.refused.count(worker) != 0;
}

bool placement_advice::may_request(milliseconds now) const noexcept
{
    return !request_pending_ && now >= retry_at_;
}

void placement_advice::on_request_sent(
    advice_order const&, std::map<std::string, std::int64_t> incarnations)
{
    request_pending_ = true;
    requested_incarnations_ = std::move(incarnations);
}

void placement_advice::on_reply(milliseconds now, advice_reply const& r)
{
    request_pending_ = false;
    if (r.result != call_result::done)
    {
        retry_at_ = now + failed_rest_ms;
        return;
    }
    auto& step = steps_[r.step];
    for (auto const& [worker, born] : requested_incarnations_)
        if (r.good.count(worker) == 0)
            step.refused.insert(worker);
    for (auto const& [worker, ticket] : r.good)
        step.good[worker] = {ticket, requested_incarnations_[worker],
                             now + r.valid_ms - ticket_margin_ms};
}

void placement_advice::erase_job(std::string const& job)
{
    auto at = steps_.lower_bound({job, 0, 0});
    while (at != steps_.end() && at->first.job == job)
        at = steps_.erase(at);
}

} // namespace jasminetrack::tasks
