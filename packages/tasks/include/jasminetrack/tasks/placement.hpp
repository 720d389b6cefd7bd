#pragma once
/// \file
/// Finds workers for a unit, and what has to stop to make room for it.
/// Answers the load of rigid accelerator sizes on workers of few
/// accelerators: tight places first, so that whole workers stay free.

#include <jasminetrack/tasks/model.hpp>

#include <set>

namespace jasminetrack::tasks
{

/// A run that could be stopped in favour of a higher priority.
struct stoppable_run
{
    std::size_t run = 0;  ///< names it among all runs; a gang is one
    resources held;       ///< on this worker
    double lost_work = 0; ///< core seconds of the whole run

    friend bool operator==(stoppable_run const&,
                           stoppable_run const&) = default;
};

/// What placement sees of a worker.
struct worker_candidate
{
    std::string id;
    std::string rack;
    std::vector<std::string> labels;
    resources free;             ///< room for a start now
    resources capacity;         ///< all of it
    resources free_after_stops; ///< room once stops under way are through
    std::vector<stoppable_run> stoppable;
    int penalty = 0;       ///< 0: none; placed only where nothing better is
    bool verified = false; ///< a run ended done there lately, none failed since
    bool slower = false;   ///< too slow for what is urgent, not for the rest
    std::int64_t same_step = 0; ///< tasks of the unit's step already here
};

/// Whether a unit wants workers where runs have ended done lately. Answers
/// workers that fail what they start while they look healthy: attempts are
/// few, and a job that used them up is lost to its caller.
enum class verification_level : std::uint8_t
{
    none,
    preferred, ///< an attempt has failed
    required,  ///< the next attempt is the last
};

/// What a unit asks for.
struct unit_need
{
    resources per_task;
    std::int64_t count = 1;
    bool same_rack = false;
    std::string rack;                 ///< preferred; empty: any
    std::string label;                ///< required; empty: any
    std::int64_t most_per_worker = 0; ///< 0: no bound
    std::set<std::string> avoid;      ///< workers that must not run it
    verification_level verification = verification_level::none;
    milliseconds waited_ms = 0;
    milliseconds estimate_ms = 1; ///< of one task, on a sound worker

    /// \returns those of all its tasks.
    [[nodiscard]] std::int64_t accelerators() const noexcept
    {
        return per_task.accelerators * count;
    }
};

/// Whether a gang that wants one rack may take several.
enum class rack_spread : std::uint8_t
{
    single,
    multiple,
};

/// \returns a worker for each task, or nothing if there is no room now.
[[nodiscard]] std::optional<std::vector<std::string>>
find_places(std::vector<worker_candidate> const& candidates,
            unit_need const& need, rack_spread allowed);

/// \returns whether one rack could hold the unit if nothing else ran there.
[[nodiscard]] bool
fits_one_rack(std::vector<worker_candidate> const& candidates,
              unit_need const& need);

/// \returns core seconds of `held` over a time; an accelerator counts as
/// eight cores.
[[nodiscard]] double core_seconds(resources const& held,
                                  milliseconds time) noexcept;

/// Places, and the runs that must be stopped first.
struct reclaim_plan
{
    std::vector<std::string> places;
    std::set<std::size_t> victims;
    double lost_work = 0;  ///< core seconds
    bool fits_now = false; ///< nothing has to stop first
};

/// What a unit may stop, and what it is worth.
struct reclaim_terms
{
    bool may_stop = false;             ///< work of lower priority
    bool guaranteed = false;           ///< it must start, whatever is lost
    double own_work = 0;               ///< core seconds
    double far_factor = 1;             ///< slower when spread over racks
    milliseconds max_rack_wait_ms = 0; ///< waits this long for one rack
};

/// Chooses between the room there is and what could be stopped. Answers
/// bursts of urgent gangs that want one rack while lower priorities have
/// borrowed it: a gang that is spread takes `far_factor` times as long and
/// comes late, so stopping a little of other work is better for callers, and
/// so is a wait. A gang that is spread also holds its room `far_factor` times
/// as long and leaves fewer racks to the next one: where gangs come faster than
/// that, all of them end up spread.
/// \returns nothing if the unit should wait.
[[nodiscard]] std::optional<reclaim_plan>
choose_plan(std::vector<worker_candidate> const& candidates,
            unit_need const& need, reclaim_terms const& terms);

/// \returns the plan that loses the least work, as far as a greedy search
/// finds it.
[[nodiscard]] std::optional<reclaim_plan>
plan_reclaim(std::vector<worker_candidate> const& candidates,
             unit_need const& need, rack_spread allowed);

} // namespace jasminetrack::tasks
