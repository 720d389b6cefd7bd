#pragma once
/// \file
/// The disruptions of a soak, drawn from its seed.

#include <standins/http_session.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace jasminetrack::soak
{

using standins::milliseconds;

enum class fault_kind : std::uint8_t
{
    store_refuses,
    store_silent,
    store_loses_answers,
    dispatcher_killed,
    dispatcher_killed_after_placing, ///< as it has logged a placement
    dispatcher_dies_with_store,      ///< the same, as the store goes away
    vm_killed,
    all_killed,
    dispatcher_cut_from_store,
    vm_cut_from_store,
    dispatcher_frozen,
    vm_frozen,
    vm_stopped,  ///< by SIGTERM
    vm_reloaded, ///< by SIGHUP
    connections_reset,
    peers_cut, ///< one VM from the others
    worker_silent,
    worker_restarted,             ///< under its id
    worker_replaced,              ///< it is lost for good, its entry lapses
    starts_delayed,               ///< a worker carries them out late
    entries_lapse,                ///< of some workers, while the store is away
    store_refuses_after_takeover, ///< soon after a VM has taken the role
    worker_lost,                  ///< for good, with its entry
    two_workers_lost,             ///< their entries lapse some seconds later
    worker_leaves,                ///< as it has announced
    store_closed,                 ///< its address refuses connections
    workers_crash,                ///< a share; they are back under their ids
    workers_lost,                 ///< a share, for good
    workers_cut,                  ///< a share; they run on
    workers_flap,                 ///< a share; they crash again and again
    workers_leave,                ///< a share, as announced, one by one
    vms_killed,                   ///< a share
    vms_frozen,                   ///< a share, together
    vms_cut_from_store,           ///< a share
    store_refuses_some,           ///< it refuses connections of a share of VMs
    store_slow,
    /// Under its id, while starts to its earlier process are under way.
    worker_back_with_orders,
    /// A share, at least two, that restart under their ids beside calls to
    /// their earlier processes, and are cut off soon after.
    workers_recut,
    workers_recut_around_a_kill, ///< the dispatcher is killed before the cut
    queues_renamed, ///< a configuration has them at their paths, as before
    count,
};

/// \returns its name, such as "store_refuses".
[[nodiscard]] char const* to_text(fault_kind k) noexcept;

/// Share of the workers or VMs that a fault concerns.
inline constexpr double usual_fault_share = 0.17;

struct fault
{
    fault_kind kind = fault_kind::store_refuses;
    milliseconds at_ms = 0;  ///< after the start of the traffic
    milliseconds for_ms = 0; ///< how long it lasts
    /// Chooses what it concerns, where its kind leaves that open.
    std::uint32_t pick = 0;
    /// Of the workers or the VMs, where its kind concerns a share of them.
    double share = usual_fault_share;

    friend bool operator==(fault const&, fault const&) = default;
};

using fault_schedule = std::vector<fault>;
/// Faults without a time.
using fault_prototypes = std::vector<fault>;

/// \returns series of faults that overlap, with calm between the series, so
/// that promises that hold in calm can be checked. Equal for equal arguments.
/// \param traffic_ms  how long traffic comes
[[nodiscard]] fault_schedule draw_schedule(std::uint32_t seed,
                                           milliseconds traffic_ms);
/// \returns the same, drawn from losses of workers and dispatchers, planned
/// leaves, and a store that refuses connections.
[[nodiscard]] fault_schedule draw_losses(std::uint32_t seed,
                                         milliseconds traffic_ms);

/// \returns the same, drawn from shares of the workers and VMs that fail at
/// once, and partial and slow stores.
[[nodiscard]] fault_schedule draw_shares(std::uint32_t seed,
                                         milliseconds traffic_ms);
/// \returns the same, drawn from workers that are back under their ids, most
/// with orders to their earlier processes under way.
[[nodiscard]] fault_schedule draw_returns(std::uint32_t seed,
                                          milliseconds traffic_ms);
/// \returns the same, drawn from workers that are back under their ids beside
/// orders to their earlier processes and cut off soon after.
[[nodiscard]] fault_schedule draw_recuts(std::uint32_t seed,
                                         milliseconds traffic_ms);
/// \returns the same, drawn from queues that get other names, beside workers
/// and VMs that restart.
[[nodiscard]] fault_schedule draw_queues(std::uint32_t seed,
                                         milliseconds traffic_ms);
/// \returns the same, drawn from these.
/// \param prototypes  at least one
[[nodiscard]] fault_schedule draw_from(fault_prototypes const& prototypes,
                                       std::uint32_t seed,
                                       milliseconds traffic_ms);

/// \returns the schedule of issue 50: the dispatcher dies as the store goes
/// away, which refuses once more after its return.
[[nodiscard]] fault_schedule placed_run_lost_with_its_sender();

/// \returns a worker with runs that is lost for good just before the
/// dispatcher is killed.
[[nodiscard]] fault_schedule worker_lost_with_dispatcher();

/// \returns workers that are lost or leave as planned around the end of the
/// dispatcher, while the store refuses connections.
[[nodiscard]] fault_schedule workers_gone_around_a_takeover();

/// \returns a worker that restarts under its id around a take-over.
[[nodiscard]] fault_schedule worker_restarted_around_a_takeover();

/// \returns the same, and then the worker restarts that took its tasks.
[[nodiscard]] fault_schedule tasks_that_lose_two_workers();

/// \returns a sixth of the workers that crash at once, and then those that took
/// their tasks.
[[nodiscard]] fault_schedule workers_crash_twice();

/// \returns VMs that wake together, far behind the log, as the dispatcher is
/// lost.
[[nodiscard]] fault_schedule vms_wake_behind_the_log();

/// \returns a dispatcher that is killed just after a worker is lost, and its
/// successor, which freezes until a third has taken over.
[[nodiscard]] fault_schedule takeovers_while_gangs_wait();

/// \returns no fault, so that all of the traffic is checked as in calm.
[[nodiscard]] fault_schedule no_faults();

/// \returns planned stops and reloads that overlap, and no other fault, so
/// that each request that is cut off counts.
[[nodiscard]] fault_schedule planned_stops();

} // namespace jasminetrack::soak
