#pragma once
/// \file
/// State from which the dispatcher names what holds a job. For logs and metrics
/// only; no decision depends on it.

#include <jasminetrack/tasks/hold_reason.hpp>
#include <jasminetrack/tasks/hold_tracker.hpp>
#include <jasminetrack/tasks/placement.hpp>
#include <jasminetrack/tasks/progress.hpp>

namespace jasminetrack::tasks::detail
{

/// The first unit that holds a job.
struct held_unit
{
    unit_id unit;
    hold_reason reason = hold_reason::no_room;
    milliseconds due_ms = 0; ///< wall-clock time: the job was accepted or due

    friend bool operator==(held_unit const&, held_unit const&) = default;
};

/// The workers of a service at one moment.
struct service_room
{
    resources capacity;                   ///< of all listed workers
    resources used;                       ///< of `capacity`
    resources free;                       ///< on workers that take starts
    std::vector<worker_candidate> fit;    ///< workers that take starts
    std::vector<worker_candidate> listed; ///< as if all of them took starts
    std::vector<resources> unfit; ///< free on workers that take no starts
    /// Listed workers of evacuated data centers, as if they took starts; not
    /// part of the above.
    std::vector<worker_candidate> evacuated;
};

/// How a unit fits on the workers of a service.
enum class unit_fit : std::uint8_t
{
    now,
    on_unfit,     ///< if all listed workers took starts
    on_evacuated, ///< if evacuated data centers took starts
    fragmented,   ///< only in total, not in places that it can use
    none,
};

/// \returns false if a look at the totals shows that the unit has no places.
[[nodiscard]] bool may_fit(service_room const& room, unit_need const& need);

/// Racks do not matter.
[[nodiscard]] unit_fit fit_of(service_room const& room, unit_need const& need);

/// \returns whether the unit wants a single rack, fits into none of them now
/// and would fit into one that is empty.
[[nodiscard]] bool lacks_rack(service_room const& room, unit_need const& need);

/// The holds at their newest update.
struct hold_state
{
    milliseconds updated_at = 0; ///< on the dispatcher's monotonic clock
    hold_tracker tracker;
    std::map<std::string, held_unit> held;     ///< by job
    std::map<std::string, service_room> rooms; ///< by service
    std::map<std::string, hold_counts> units;  ///< waiting units, by service
};

} // namespace jasminetrack::tasks::detail
