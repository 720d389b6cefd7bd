#pragma once
/// \file
/// How long the leases of a dispatcher may last. Dispatchers keep to these
/// bounds, and their successors rely on them.

#include <jasminetrack/tasks/dispatch_limits.hpp>

#include <algorithm>

namespace jasminetrack::tasks
{

/// A node claims the role after this time without a heartbeat of the holder:
/// three missed heartbeats, which are sent every 500 ms.
inline constexpr milliseconds holder_timeout_ms = 1'600;

/// A worker's clock may be slow by this many thousandths.
inline constexpr milliseconds max_clock_drift = 20;
inline constexpr milliseconds thousand = 1'000;

/// \returns how long a time on a worker's clock lasts at most.
[[nodiscard]] constexpr milliseconds on_slow_clock(milliseconds time) noexcept
{
    constexpr auto rate = thousand - max_clock_drift;
    return (time * thousand + rate - 1) / rate;
}

/// Longest lease that a dispatcher grants. Long enough for a successor to take
/// over, and for a short disconnection of the worker.
inline constexpr milliseconds granted_lease_ms = 6'000;

/// A dispatcher's proof of the role is the send time of its newest append that
/// the log has confirmed: a successor's claim was stored later. A survey which
/// shows that no VM can reach the log is a proof as well.
/// \returns how long after the newest proof its leases end at the latest, but
/// for the drift of the workers' clocks.
[[nodiscard]] constexpr milliseconds
max_lease_after_proof(dispatch_limits const& limits) noexcept
{
    return std::min(granted_lease_ms, limits.max_lease_ms);
}

/// \returns how long after the newest proof of earlier dispatchers all their
/// leases have ended, on any worker's clock.
[[nodiscard]] constexpr milliseconds
max_earlier_lease(dispatch_limits const& limits) noexcept
{
    return on_slow_clock(max_lease_after_proof(limits));
}

} // namespace jasminetrack::tasks
