#include <jasminetrack/core/call_router.hpp>

#include <algorithm>

namespace jasminetrack::core
{
namespace
{

constexpr double max_retry_tokens = 20;
constexpr double tokens_per_call = 0.1;
constexpr int backoff_threshold_failures = 3; ///< consecutive
constexpr milliseconds initial_backoff_ms = 1000;
constexpr milliseconds max_backoff_ms = 30'000;
constexpr milliseconds busy_backoff_ms = 50;

} // namespace

call_router::call_router(std::string region)
    : region_(std::move(region)), retry_tokens_(max_retry_tokens)
{
}

void call_router::set_targets(std::vector<worker> const& workers)
{
    for (auto& [name, e] : targets_)
        e.listed = false;
    for (auto const& w : workers)
    {
        auto& e = targets_[w.name];
        bool const moved = e.endpoint.address != w.address;
        e.endpoint = {w.name, w.address, w.region};
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
                             item.second.in_flight == 0 && !item.second.leaving;
                  });
}

call_router::target_state const*
call_router::find_least_loaded(milliseconds now,
                               std::set<std::string> const& exclude,
                               bool in_region) const
{
    target_state const* best = nullptr;
    std::size_t const count = targets_.size();
    auto it = targets_.begin();
    std::advance(it, count == 0 ? 0 : next_start_ % count);
    for (std::size_t i = 0; i < count; ++i, ++it)
    {
        if (it == targets_.end())
            it = targets_.begin();
        auto const& e = it->second;
        bool const available = e.listed && !e.leaving &&
                               now >= e.backoff_until_ms &&
                               exclude.count(it->first) == 0 &&
                               (e.endpoint.region == region_) == in_region;
        if (available && (best == nullptr || e.in_flight < best->in_flight))
            best = &e;
    }
    return best;
}

std::optional<target>
call_router::select_target(milliseconds now,
                           std::set<std::string> const& exclude)
{
    ++next_start_;
    if (exclude.empty())
        retry_tokens_ =
            std::min(max_retry_tokens, retry_tokens_ + tokens_per_call);
    auto const* e = find_least_loaded(now, exclude, true);
    if (e == nullptr)
        e = find_least_loaded(now, exclude, false);
    if (e == nullptr)
        return std::nullopt;
    return e->endpoint;
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
        ++found->second.in_flight;
}

void call_router::on_call_finished(milliseconds now, std::string const& name,
                                   target_result result)
{
    auto const found = targets_.find(name);
    if (found == targets_.end())
        return;
    auto& e = found->second;
    e.in_flight = std::max(0, e.in_flight - 1);
    switch (result)
    {
    case target_result::answered:
        e.failures = 0;
        break;
    case target_result::busy:
        e.backoff_until_ms = now + busy_backoff_ms;
        break;
    case target_result::leaving:
        e.leaving = true;
        break;
    case target_result::failed:
        ++e.failures;
        if (e.failures >= backoff_threshold_failures)
            e.backoff_until_ms =
                now + std::min(max_backoff_ms,
                               initial_backoff_ms << std::min(
                                   e.failures - backoff_threshold_failures, 5));
        break;
    }
}

} // namespace jasminetrack::core
