#include <jasminetrack/tasks/detail/crowding.hpp>

namespace jasminetrack::tasks::detail
{
namespace
{

/// For so long work without room leaves workers with vulnerable runs alone.
constexpr milliseconds max_spared_ms = 1'500;

} // namespace

void crowding::begin_pass()
{
    in_pass_.clear();
}

void crowding::note(std::string const& service)
{
    in_pass_.insert(service);
}

void crowding::end_pass(milliseconds now)
{
    std::erase_if(since_, [&](auto const& entry)
                  { return in_pass_.count(entry.first) == 0; });
    for (auto const& service : in_pass_)
        since_.try_emplace(service, now);
}

/// Workers with vulnerable runs stay as they are for a short time only, as a
/// job must not wait for them.
bool crowding::spares_vulnerable(milliseconds now,
                                 std::string const& service) const
{
    auto const since = since_.find(service);
    return since == since_.end() || now - since->second < max_spared_ms;
}

} // namespace jasminetrack::tasks::detail
