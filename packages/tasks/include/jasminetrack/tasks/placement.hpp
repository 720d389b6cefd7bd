#pragma once
/// \file
/// Finds workers for a unit, and the runs to stop so that it fits. Tasks need
/// fixed numbers of accelerators and workers have few, so the fullest workers
/// are filled first (best fit) and whole workers stay free for large tasks.

#include <jasminetrack/tasks/guarantees.hpp>
#include <jasminetrack/tasks/speed_preference.hpp>

#include <set>

namespace jasminetrack::tasks
{

/// A run that may be stopped in favour of urgent work.
struct stoppable_run
{
    std::size_t run = 0;  ///< identifies the run; shared by a gang
    resources held;       ///< on this worker
    double lost_work = 0; ///< core seconds of the whole run
    /// Whose urgent work it is, of which only what the team holds beyond its
    /// guarantee may be stopped; empty: work of lower priority.
    std::string team{};
    std::int64_t accelerators = 0; ///< of the whole run, if it is urgent

    friend bool operator==(stoppable_run const&,
                           stoppable_run const&) = default;
};

/// A worker that may take tasks of the unit.
struct worker_candidate
{
    std::string id;
    std::string rack;
    std::vector<std::string> labels;
    resources free;             ///< available for a start now
    resources capacity;         ///< in total
    resources free_after_stops; ///< available once pending stops complete
    std::vector<stoppable_run> stoppable;
    int penalty = 0; ///< workers with a lower penalty are preferred
    /// A run completed there recently and none has failed since.
    bool verified = false;
    bool slower = false; ///< too slow for urgent work only
    /// Its machine is slower than the usual one of its service.
    bool slow_machine = false;
    /// How likely it is to leave; workers with a lower rank are preferred.
    std::int64_t departure_rank = 0;
    /// Runs are being started there; only known where a unit is isolated.
    bool starting = false;
    std::int64_t same_step = 0;    ///< tasks of the unit's step on this worker
    bool vulnerable = false;       ///< it has vulnerable runs
    std::int64_t suspects = 0;     ///< suspected runs that are being started
    std::int64_t max_suspects = 0; ///< how many of them there may be; 0: none
};

/// Whether a unit needs a worker on which a run completed recently. Some
/// workers look healthy but fail every run; without this, a job could use up
/// its few attempts on them.
enum class verification_level : std::uint8_t
{
    none,
    preferred, ///< an attempt has failed
    required,  ///< the next attempt is the last
};

/// What a unit needs of its workers.
struct unit_need
{
    resources per_task;
    std::int64_t count = 1;
    bool same_rack = false;
    bool lasting = false;
    std::string rack;                 ///< preferred; empty: any
    std::string label;                ///< required; empty: any
    std::int64_t most_per_worker = 0; ///< 0: no limit
    std::set<std::string> avoid;      ///< workers that must not run it
    std::set<std::string> failed_on;  ///< workers that come last
    bool avoids_failed_on = false;    ///< takes none of these
    verification_level verification = verification_level::none;
    /// Takes only workers that start nothing but suspects, the emptiest ones
    /// first.
    bool isolated = false;
    /// Takes the emptiest workers that start nothing, if there are any.
    bool vulnerable = false;
    /// How many suspects may be started together, this unit included.
    std::int64_t max_group = 1;
    /// Whether it may take workers that start nothing yet.
    bool may_isolate = true;
    /// Takes no workers with vulnerable runs.
    bool spares_vulnerable = false;
    /// Prefers workers that are unlikely to leave. Units that complete anywhere
    /// leave these to others.
    bool avoids_departures = false;
    milliseconds waited_ms = 0;   ///< since its job was accepted or due
    bool may_wait = true;         ///< by choice, rather than run at once
    milliseconds estimate_ms = 1; ///< duration of one task
    speed_preference speeds = speed_preference::none;
    bool checkpoints = false; ///< a stop keeps its progress
    bool lent = false;        ///< starts within the headroom for urgent work

    /// \returns the accelerators of all its tasks.
    [[nodiscard]] std::int64_t accelerators() const noexcept
    {
        return per_task.accelerators * count;
    }
    /// \returns what all its tasks need.
    [[nodiscard]] resources total() const noexcept
    {
        return count * per_task;
    }
};

/// How many racks a unit may be placed on.
enum class rack_spread : std::uint8_t
{
    single,
    multiple,
};

/// \returns a worker for each task, or nothing if the unit does not fit now.
[[nodiscard]] std::optional<std::vector<std::string>>
find_places(std::vector<worker_candidate> const& candidates,
            unit_need const& need, rack_spread allowed);

/// \returns whether the unit would fit into one of the workers' racks if that
/// were empty.
[[nodiscard]] bool
fits_one_rack(std::vector<worker_candidate> const& candidates,
              unit_need const& need);

/// \returns the core seconds of holding `held` for `time`; an accelerator
/// counts as eight cores.
[[nodiscard]] double core_seconds(resources const& held,
                                  milliseconds time) noexcept;

/// Places for a unit, and the runs that must be stopped first.
struct reclaim_plan
{
    std::vector<std::string> places;
    std::set<std::size_t> victims; ///< as in stoppable_run::run
    double lost_work = 0;          ///< core seconds
    bool fits_now = false;         ///< no stop is needed
};

/// What a unit may stop, and the value of its own work.
struct reclaim_terms
{
    bool may_stop = false;   ///< may stop what the candidates offer
    bool guaranteed = false; ///< must start, however much work is lost
    double own_work = 0;     ///< core seconds
    double far_factor = 1;   ///< slowdown when spread over racks
    milliseconds max_rack_wait_ms = 0; ///< longest wait for a single rack
    accelerators_by_team excess;       ///< of urgent work that may be stopped
};

/// Chooses between free capacity, capacity to reclaim, and waiting. A gang that
/// wants one rack takes `far_factor` times as long when it is spread over
/// several, and so misses its objective; stopping a little work of lower
/// priority, or a short wait, costs less. A spread gang also holds its capacity
/// `far_factor` times as long and leaves fewer racks to the next gang, so that
/// in a burst all gangs would end up spread.
/// \pre a rack can hold the unit if it wants one
/// \returns nothing if the unit should wait.
[[nodiscard]] std::optional<reclaim_plan>
choose_plan(std::vector<worker_candidate> const& candidates,
            unit_need const& need, reclaim_terms const& terms);

/// The same, but workers on which the unit failed are used if there are no
/// others and it may not wait by choice.
[[nodiscard]] std::optional<reclaim_plan>
choose_places(std::vector<worker_candidate> const& candidates, unit_need need,
              reclaim_terms const& terms);

/// \param excess  what teams hold beyond their guarantees. No urgent run of a
///                team is stopped once it holds no more than that.
/// \returns the plan that loses the least work among those that a greedy search
/// finds, or nothing if no stops make the unit fit.
[[nodiscard]] std::optional<reclaim_plan>
plan_reclaim(std::vector<worker_candidate> const& candidates,
             unit_need const& need, rack_spread allowed,
             accelerators_by_team const& excess = {});

} // namespace jasminetrack::tasks
