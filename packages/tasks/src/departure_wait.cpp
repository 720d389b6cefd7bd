#include <jasminetrack/tasks/departure_wait.hpp>

#include <algorithm>
#include <array>

namespace jasminetrack::tasks
{
namespace
{

/// Longest wait. Workers leave with a notice of 2 to 5 s, so a wave that goes
/// on for longer is a steady loss, which waiting does not avoid.
constexpr milliseconds max_wait_ms = 4'000;
/// Below this a start is more likely to be lost than to complete.
constexpr double min_chance = 0.5;

} // namespace

char const* to_text(departure_wait_reason r) noexcept
{
    constexpr std::array names{
        "no_departures",   "likely_to_complete", "exempt", "service_idle",
        "room_not_wanted", "waited_long",        "waits"};
    return names[static_cast<std::size_t>(r)];
}

departure_wait_reason judge_wait(departure_wait_terms const& t,
                                 milliseconds waited_ms) noexcept
{
    if (!t.going_on)
        return departure_wait_reason::no_departures;
    if (t.chance >= min_chance)
        return departure_wait_reason::likely_to_complete;
    if (t.urgent || t.checkpoints)
        return departure_wait_reason::exempt;
    if (!t.service_in_use)
        return departure_wait_reason::service_idle;
    if (!t.room_is_wanted)
        return departure_wait_reason::room_not_wanted;
    if (waited_ms >= max_wait_ms || t.spare_ms <= 0)
        return departure_wait_reason::waited_long;
    return departure_wait_reason::waits;
}

departure_wait_reason departure_waits::judge(milliseconds now,
                                             unit_ref const& ref,
                                             departure_wait_terms const& t)
{
    auto const at = waits_.find(ref);
    auto const waited_ms = at == waits_.end() ? 0 : now - at->second.since;
    auto const reason = judge_wait(t, waited_ms);
    bool const waits = reason == departure_wait_reason::waits;
    if (at != waits_.end())
        at->second.waits = waits;
    else if (waits)
        waits_.emplace(ref, wait{now, true});
    return reason;
}

void departure_waits::erase(unit_ref const& ref)
{
    waits_.erase(ref);
}

void departure_waits::erase_job(std::string const& job)
{
    std::erase_if(waits_,
                  [&](auto const& entry) { return entry.first.job == job; });
}

bool departure_waits::is_waiting(unit_ref const& ref) const
{
    auto const at = waits_.find(ref);
    return at != waits_.end() && at->second.waits;
}

} // namespace jasminetrack::tasks
