#pragma once
/// \file
/// What the accelerators of a service are used for at one moment, and why
/// waiting work was passed over. For logs and metrics: no decision reads it.

#include <jasminetrack/tasks/model.hpp>

#include <map>

namespace jasminetrack::tasks
{

/// The part of one priority.
struct priority_utilization
{
    std::int64_t held = 0;     ///< accelerators, runs that are ending included
    std::int64_t waiting = 0;  ///< steps that could start if there were room
    std::int64_t kept_out = 0; ///< of these: so that urgent work finds room
    std::int64_t no_room = 0;  ///< of these: no workers take them now

    friend bool operator==(priority_utilization const&,
                           priority_utilization const&) = default;
};

/// Accelerators of one service.
struct service_utilization
{
    std::int64_t capacity = 0;    ///< of listed workers
    std::int64_t free = 0;        ///< on workers that may start something
    std::int64_t unfit = 0;       ///< free on workers that may not
    std::int64_t reserved = 0;    ///< for units that wait for stops
    std::int64_t headroom = 0;    ///< kept free for urgent work
    std::int64_t least_share = 0; ///< of each lower priority
    std::int64_t spread = 0; ///< held by gangs that want one rack, on several
    std::map<std::int64_t, priority_utilization> priorities;

    friend bool operator==(service_utilization const&,
                           service_utilization const&) = default;
};

/// \returns "key=value" fields; lists by priority are "PRIORITY:NUMBER,...".
[[nodiscard]] std::string to_text(service_utilization const& c);

} // namespace jasminetrack::tasks
