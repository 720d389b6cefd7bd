#pragma once
/// \file
/// How long a unit that could run waits by the dispatcher's own choice: for one
/// rack, for room beyond the headroom for urgent work, or for a worker on which
/// it has not failed. Such preferences pay off while a service is in use; while
/// most of it is idle they only delay work.

#include <jasminetrack/tasks/placement.hpp>

namespace jasminetrack::tasks
{

/// Resources of all workers of a service that are listed and do not drain.
struct service_load
{
    resources capacity;
    resources free; ///< used by no run; may be reserved

    friend bool operator==(service_load const&, service_load const&) = default;
};

/// \returns the share of the service's accelerators that is in use; 0 if it has
/// none.
[[nodiscard]] double used_accelerators_share(service_load const& load) noexcept;

/// All chosen waits of a unit together while the service is idle for it.
inline constexpr milliseconds max_idle_wait_ms = 1'000;

/// How much of a service is not in use while a unit waits.
enum class idleness : std::uint8_t
{
    none,    ///< no room for the unit twice over, or most is in use
    partial, ///< room, and little is in use by accelerators or by cores
    full,    ///< room, and little is in use by both
};

/// How much is in use does not matter to lasting work, which gains nothing by
/// a later start.
[[nodiscard]] idleness idleness_for(service_load const& load,
                                    unit_need const& need) noexcept;

/// For how long a service has been idle for a unit that waits. Times are on one
/// monotonic clock.
class idle_time
{
public:
    void record(milliseconds now, idleness how) noexcept;

    /// \returns whether the unit may wait by choice, for whatever preference.
    [[nodiscard]] bool may_wait(milliseconds now) const noexcept;

private:
    idleness how_ = idleness::none; ///< as recorded last
    milliseconds recorded_at_ = 0;
    milliseconds total_ms_ = 0;        ///< of full idleness
    milliseconds since_ = -1;          ///< -1: it is not idle
    milliseconds interrupted_at_ = -1; ///< -1: it is idle now
};

} // namespace jasminetrack::tasks
