#pragma once
/// \file
/// What a task waits for that could run by the state of its job, and why a
/// worker takes no starts. For logs and metrics only; no decision depends on
/// it. docs/WAITS.md has a row for each reason.

#include <jasminetrack/tasks/model.hpp>

#include <map>
#include <string>

namespace jasminetrack::tasks
{

/// Why a unit of a ready step has no run.
enum class hold_reason : std::uint8_t
{
    no_queue,
    jobs_not_current,
    list_not_current,
    evacuations_not_current,
    role_unproven,
    placement_not_stored,
    start_unanswered,
    worker_unreached,
    worker_silent,
    late_start,
    stopping,
    earlier_run,
    isolation,
    unclear_losses,
    verified_worker,
    reservation,
    headroom,   ///< it has places beside which the headroom would not stay free
    rack,       ///< it has places, in several racks
    departures, ///< it has places, and would probably lose one of the workers
    advice,
    evacuated,     ///< it has places only in evacuated data centers
    workers_unfit, ///< it would have places if all listed workers took starts
    fragmented,    ///< enough is free in total, not in places that it can use
    no_room,
    count,
};

/// Describes a wait.
struct hold_terms
{
    char const* name;     ///< as in logs and metrics
    char const* ended_by; ///< the evidence that ends it
    /// Longest time without that evidence; -1: it depends on the load.
    milliseconds longest_ms;
};

[[nodiscard]] hold_terms const& describe(hold_reason r) noexcept;

/// \returns whether a unit that waits for this has places, and waits for better
/// ones or to leave them to other work.
[[nodiscard]] constexpr bool is_chosen(hold_reason r) noexcept
{
    return r == hold_reason::headroom || r == hold_reason::rack ||
           r == hold_reason::departures;
}

/// Why the free accelerators of a listed worker take no starts.
enum class unfit_reason : std::uint8_t
{
    unlisted,
    views_not_current, ///< the workers, the jobs or the evacuations
    draining,
    evacuated, ///< its data center is
    outdated_entry,
    late_orders, ///< orders to an earlier process may still arrive
    silent,
    not_reached,
    unknown_task,
    isolating, ///< it has a suspected run, beside which nothing is started
    cleared,   ///< for such a run
    count,
};

[[nodiscard]] char const* to_text(unfit_reason r) noexcept;

using hold_counts = std::map<hold_reason, std::int64_t>;
using unfit_counts = std::map<unfit_reason, std::int64_t>;

/// \returns "NAME:NUMBER,..."
[[nodiscard]] std::string to_text(hold_counts const& counts);
[[nodiscard]] std::string to_text(unfit_counts const& counts);

} // namespace jasminetrack::tasks
