#pragma once
/// \file
/// What the dispatcher keeps of departures of workers. Empty unless the setting
/// is on. It is not stored: a successor starts without it.

#include <jasminetrack/tasks/departure_wait.hpp>
#include <jasminetrack/tasks/departures.hpp>
#include <jasminetrack/tasks/detail/dispatcher_state.hpp>
#include <jasminetrack/tasks/drain_plan.hpp>
#include <jasminetrack/tasks/placement.hpp>

#include <vector>

namespace jasminetrack::tasks::detail
{

/// The need of one unit of a step that waits.
struct waiting_need
{
    std::string job;
    std::string label; ///< required of the worker; empty: any
    resources per_task;
    std::int64_t count = 1; ///< tasks that start together

    friend bool operator==(waiting_need const&, waiting_need const&) = default;
};

/// A worker and what would be free there.
struct free_place
{
    worker_info const* worker = nullptr;
    resources free;
};

/// \returns whether the unit fits on these workers.
[[nodiscard]] bool fits_on(waiting_need const& need,
                           std::vector<free_place> const& places);

/// What departures have cost a service.
struct departure_losses
{
    std::int64_t runs = 0;
    double core_seconds = 0;

    friend bool operator==(departure_losses const&,
                           departure_losses const&) = default;
};

struct departure_state
{
    departures history;
    departure_waits waits;
    /// Steps that waited at the begin of the newest pass, and those of them
    /// that got no place in it, by service.
    std::map<std::string, std::vector<waiting_need>> waiting;
    std::map<std::string, std::vector<waiting_need>> unplaced;
    /// Newest verdict by unit, with the number of its run.
    std::map<unit_ref, std::pair<std::int64_t, drain_reason>> verdicts;
    /// How often departures ended a run of the unit.
    std::map<unit_ref, std::int64_t> moves;
    std::map<std::string, departure_losses> losses; ///< by service

    /// A scheduling pass begins, with these steps waiting.
    void note_waiting(std::vector<waiting_units> const& list);
    /// The step got no place in this pass.
    void note_unplaced(waiting_units const& w);
    void note_move(unit_ref const& ref, std::string const& service,
                   double lost_core_seconds);
    [[nodiscard]] std::int64_t moves_of(unit_ref const& ref) const;
    [[nodiscard]] std::int64_t moves_of_job(std::string const& job) const;
    void erase_job(std::string const& job);
};

} // namespace jasminetrack::tasks::detail
