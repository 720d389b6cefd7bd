#include <jasminetrack/tasks/worker_view.hpp>

#include <jasminetrack/tasks/lease_bounds.hpp>

#include <algorithm>
#include <array>
#include <limits>

namespace jasminetrack::tasks
{
namespace
{

constexpr milliseconds clock_tolerance_ms = 100;
/// A worker that has not answered for this time, beyond a pause of its
/// renewals, gets no starts; more than two of its answers are missing then.
constexpr milliseconds max_answer_age_ms = 3'500;

} // namespace

char const* to_text(call_result r) noexcept
{
    constexpr std::array names{
        "done",      "fenced",    "old_run",    "late",    "no_room",
        "no_ticket", "unhealthy", "other_life", "invalid", "no_answer"};
    return names[static_cast<std::size_t>(r)];
}

milliseconds worker_view::clock_floor(milliseconds now) const noexcept
{
    auto const passed = now - clock_at_;
    return clock_ms_ + passed - passed * max_clock_drift / thousand;
}

bool worker_view::is_lease_expired(milliseconds now) const noexcept
{
    return clock_at_ >= 0 && clock_floor(now) > lease_until_;
}

bool worker_view::may_read(milliseconds clock, milliseconds since,
                           milliseconds now) const noexcept
{
    auto const least = clock_floor(since) - clock_tolerance_ms;
    auto const most = clock_ms_ + now - clock_asked_at_ + clock_tolerance_ms;
    return clock >= least && clock <= most;
}

resources worker_view::free_capacity() const noexcept
{
    return info.capacity - used_ - reserved;
}

resources worker_view::capacity_after_stops(milliseconds since) const noexcept
{
    auto capacity = free_capacity();
    for (auto const& [run, o] : hosted_runs)
        if (o.ending && o.ending_since > since)
            capacity += o.held;
    return capacity;
}

milliseconds worker_view::late_start_wait(milliseconds now) const noexcept
{
    auto wait = std::numeric_limits<milliseconds>::max();
    for (auto const& [run, o] : hosted_runs)
        if (o.late_start_until > now)
            wait = std::min(wait, o.late_start_until - now);
    return wait;
}

bool worker_view::answered_recently(milliseconds now) const noexcept
{
    return token_known() &&
           now - answered_at <= max_answer_age_ms + idle_pause_ms;
}

std::optional<unfit_reason>
worker_view::refusal(milliseconds now) const noexcept
{
    if (!listed)
        return unfit_reason::unlisted;
    if (info.draining)
        return unfit_reason::draining;
    if (evacuated)
        return unfit_reason::evacuated;
    if (has_outdated_entry())
        return unfit_reason::outdated_entry;
    if (may_get_late_orders())
        return unfit_reason::late_orders;
    if (unresponsive_since >= 0)
        return unfit_reason::silent;
    if (!answered_recently(now))
        return unfit_reason::not_reached;
    return std::nullopt;
}

void worker_view::update_clock(milliseconds now, milliseconds clock,
                               milliseconds asked_at) noexcept
{
    if (clock < clock_floor(now) && clock_at_ >= 0)
        return; // an older answer that arrived late
    clock_ms_ = clock;
    clock_at_ = now;
    clock_asked_at_ = asked_at;
}

void worker_view::extend_lease(milliseconds until) noexcept
{
    lease_until_ = std::max(lease_until_, until);
}

void worker_view::add(task_run const& run, hosted_run o)
{
    remove(run);
    used_ += o.held;
    isolated_runs_ += o.isolated ? 1 : 0;
    vulnerable_runs_ += o.vulnerable ? 1 : 0;
    hosted_runs.emplace(run, std::move(o));
}

void worker_view::remove(task_run const& run)
{
    auto const at = hosted_runs.find(run);
    if (at == hosted_runs.end())
        return;
    used_ -= at->second.held;
    isolated_runs_ -= at->second.isolated ? 1 : 0;
    vulnerable_runs_ -= at->second.vulnerable ? 1 : 0;
    hosted_runs.erase(at);
}

void worker_view::end_isolation(hosted_run& o) noexcept
{
    isolated_runs_ -= o.isolated ? 1 : 0;
    o.isolated = false;
}

void worker_view::drop_late_starts(milliseconds now)
{
    std::erase_if(late_starts,
                  [&](auto const& entry)
                  {
                      auto const until = entry.second.until;
                      return listed ? answered_renewal_at >= until
                                    : now >= until;
                  });
}

void worker_view::mark_ending(milliseconds now, task_run const& run)
{
    auto const at = hosted_runs.find(run);
    if (at == hosted_runs.end() || at->second.ending)
        return;
    at->second.ending = true;
    at->second.ending_since = now;
}

void worker_view::reset_for_incarnation(std::int64_t incarnation)
{
    ended_incarnations_.insert(info.incarnation);
    ended_incarnations_.erase(incarnation);
    info.incarnation = incarnation;
    hosted_runs.clear();
    used_ = {};
    isolated_runs_ = 0;
    vulnerable_runs_ = 0;
    clock_ms_ = 0;
    clock_at_ = -1;
    clock_asked_at_ = -1;
    lease_until_ = 0;
    late_lease_until.reset();
    last_seen = 0;
    processed_end = 0;
    processed_batch = 0;
    failures = 0;
    quarantined_until = 0;
    last_success_at = -1;
    pace = {};
    accepted_token = 0;
    answered_address.clear();
    answered_renewal_at = -1;
    runs_unknown_task = false;
    replaced = false;
}

} // namespace jasminetrack::tasks
