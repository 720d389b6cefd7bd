#include <jasminetrack/core/call_router.hpp>

#include <algorithm>

namespace jasminetrack::core
{
namespace
{

constexpr double most_retry_tokens = 20;
constexpr double tokens_per_call = 0.1;
constexpr int failures_before_rest = 3;
constexpr milliseconds first_rest_ms = 1000;
constexpr milliseconds longest_rest_ms = 30'000;
constexpr milliseconds busy_rest_ms = 50;

} // namespace

call_router::call_router(std::string region)
    : region_(std::move(region)), retry_tokens_(most_retry_tokens)
{
}

void call_router::set_targets(std::vector<worker> const& workers)
{
    for (auto& [name, e] : targets_)
        e.listed = false;
    for (auto const& w : workers)
    {
        auto& e = targets_[w.name];
        bool const moved = e.where.address != w.address;
        e.where = {w.name, w.address, w.region};
        e.listed = w.condition == worker_condition::live ||
                   w.condition == worker_condition::quarantined;
        if (moved)
            e.leaving = false;
        if (w.condition == worker_condition::leaving)
            e.leaving = true;
    }
    std::erase_if(targets_,
                  [](auto const& item)
                  {
                      return !item.second.listed &&
                             item.second.under_way == 0 && !item.second.leaving;
                  });
}

call_router::entry const*
call_router::best_of(milliseconds now, std::set<std::string> const& exclude,
                     bool near) const
{
    entry const* best = nullptr;
    std::size_t const count = targets_.size();
    auto it = targets_.begin();
    std::advance(it, count == 0 ? 0 : turn_ % count);
    for (std::size_t i = 0; i < count; ++i, ++it)
    {
        if (it == targets_.end())
            it = targets_.begin();
        auto const& e = it->second;
        bool const able = e.listed && !e.leaving && now >= e.back_at_ms &&
                          exclude.count(it->first) == 0 &&
                          (e.where.region == region_) == near;
        if (able && (best == nullptr || e.under_way < best->under_way))
            best = &e;
    }
    return best;
}

std::optional<target>
call_router::select_target(milliseconds now,
                           std::set<std::string> const& exclude)
{
    ++turn_;
    if (exclude.empty())
        retry_tokens_ =
            std::min(most_retry_tokens, retry_tokens_ + tokens_per_call);
    auto const* e = best_of(now, exclude, true);
    if (e == nullptr)
        e = best_of(now, exclude, false);
    if (e == nullptr)
        return std::nullopt;
    return e->where;
}

bool call_router::consume_retry_token() noexcept
{
    if (retry_tokens_ < 1)
        return false;
    retry_tokens_ -= 1;
    return true;
}

void call_router::on_call_started(std::string const& name)
{
    auto const found = targets_.find(name);
    if (found != targets_.end())
        ++found->second.under_way;
}

void call_router::on_call_finished(milliseconds now, std::string const& name,
                                   target_result result)
{
    auto const found = targets_.find(name);
    if (found == targets_.end())
        return;
    auto& e = found->second;
    e.under_way = std::max(0, e.under_way - 1);
    switch (result)
    {
    case target_result::answered:
        e.failures = 0;
        break;
    case target_result::busy:
        e.back_at_ms = now + busy_rest_ms;
        break;
    case target_result::leaving:
        e.leaving = true;
        break;
    case target_result::failed:
        ++e.failures;
        if (e.failures >= failures_before_rest)
            e.back_at_ms =
                now + std::min(longest_rest_ms,
                               first_rest_ms << std::min(
                                   e.failures - failures_before_rest, 5));
        break;
    }
}

} // namespace jasminetrack::core
