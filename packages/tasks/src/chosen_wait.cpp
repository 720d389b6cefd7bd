#include <jasminetrack/tasks/chosen_wait.hpp>

#include <algorithm>

namespace jasminetrack::tasks
{
namespace
{

/// A service is hardly in use below this share. Callers count what is in use
/// by the runs that they see, so the bound is above the half that they allow.
constexpr double hardly_used = 0.55;
/// Room for a unit is ample if it fits so many times.
constexpr std::int64_t ample_room_factor = 2;
/// Longest wait at a stretch while it is idle by one measure only.
constexpr milliseconds max_partly_idle_ms = 2'000;
/// A shorter time without ample room, as between the placement of urgent work
/// and the next report of ended runs, does not end an idle period.
constexpr milliseconds max_interruption_ms = 300;

double used_share(double capacity, double free) noexcept
{
    return capacity <= 0 ? 0 : (capacity - free) / capacity;
}

/// \returns the share of the service's cores that is in use, with an
/// accelerator counted as several.
double used_cores_share(service_load const& load) noexcept
{
    constexpr milliseconds one_second_ms = 1'000;
    return used_share(core_seconds(load.capacity, one_second_ms),
                      core_seconds(load.free, one_second_ms));
}

} // namespace

double used_accelerators_share(service_load const& load) noexcept
{
    return used_share(static_cast<double>(load.capacity.accelerators),
                      static_cast<double>(load.free.accelerators));
}

idleness idleness_for(service_load const& load, unit_need const& need) noexcept
{
    if (!fits(ample_room_factor * need.total(), load.free))
        return idleness::none;
    bool const by_cores = used_cores_share(load) < hardly_used;
    bool const by_accelerators = used_accelerators_share(load) < hardly_used;
    if (need.lasting || (by_cores && by_accelerators))
        return idleness::full;
    return by_cores || by_accelerators ? idleness::partial : idleness::none;
}

void idle_time::record(milliseconds now, idleness how) noexcept
{
    if (how_ == idleness::full)
        total_ms_ += now - recorded_at_;
    how_ = how;
    recorded_at_ = now;
    if (how != idleness::none)
    {
        interrupted_at_ = -1;
        if (since_ < 0)
            since_ = now;
        return;
    }
    if (interrupted_at_ < 0)
        interrupted_at_ = now;
    if (now - interrupted_at_ > max_interruption_ms)
        since_ = -1;
}

bool idle_time::may_wait(milliseconds now) const noexcept
{
    if (how_ == idleness::none)
        return true;
    bool const is_used_up =
        how_ == idleness::full && total_ms_ >= max_idle_wait_ms;
    return !is_used_up && now - since_ < max_partly_idle_ms;
}

} // namespace jasminetrack::tasks
