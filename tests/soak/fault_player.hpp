#pragma once
/// \file
/// Plays a schedule of faults on a deployment.

#include "dispatcher_watch.hpp"
#include "history.hpp"
#include "schedule.hpp"

#include <standins/cluster.hpp>

#include <map>
#include <mutex>

namespace jasminetrack::soak
{

/// Safe to use from several threads.
class fault_player
{
public:
    fault_player(standins::cluster& c, dispatcher_watch& watch,
                 standins::record& log);

    /// Puts proxies between the VMs; before they start.
    void link_peers();
    /// Plays the schedule to its end, and ends each fault.
    /// \param begin_ms  when the traffic began
    void play(fault_schedule const& schedule, milliseconds begin_ms);
    /// Copies the disruptions so far.
    void copy_to(play_history& h);

private:
    using player = void (fault_player::*)(fault const&);

    static player const players[];

    void refuse_store(fault const& f);
    void silence_store(fault const& f);
    void lose_store_answers(fault const& f);
    void kill_dispatcher(fault const& f);
    void kill_dispatcher_after_placing(fault const& f);
    void kill_dispatcher_with_store(fault const& f);
    void kill_vm(fault const& f);
    void kill_all(fault const& f);
    void cut_dispatcher(fault const& f);
    void cut_vm(fault const& f);
    void freeze_dispatcher(fault const& f);
    void freeze_vm(fault const& f);
    void stop_vm(fault const& f);
    void reload_vm(fault const& f);
    void reset_connections(fault const& f);
    void cut_peers(fault const& f);
    void silence_worker(fault const& f);
    void restart_worker(fault const& f);
    void replace_worker(fault const& f);
    void delay_starts(fault const& f);
    void return_with_orders(fault const& f);
    void recut_workers(fault const& f);
    void recut_workers_around_kill(fault const& f);
    void rename_queues(fault const& f);
    void lapse_entries(fault const& f);
    void refuse_store_after_takeover(fault const& f);
    void lose_worker(fault const& f);
    void lose_two_workers(fault const& f);
    void let_worker_leave(fault const& f);
    void close_store(fault const& f);
    void crash_workers(fault const& f);
    void lose_workers(fault const& f);
    void cut_workers(fault const& f);
    void flap_workers(fault const& f);
    void let_workers_leave(fault const& f);
    void kill_vms(fault const& f);
    void freeze_vms(fault const& f);
    void cut_vms(fault const& f);
    void refuse_some_vms(fault const& f);
    void slow_store(fault const& f);

    /// The worker's process ends, and its address does not answer.
    static void end_worker(standins::worker& w);
    /// The same, and others under their ids follow after the time.
    void end_for(std::vector<standins::worker*> const& workers,
                 milliseconds time);
    /// The workers end, and the next processes under their ids carry out the
    /// calls that come meanwhile.
    void restart_with_calls(std::vector<standins::worker*> const& workers,
                            milliseconds down_ms);
    /// The workers' calls get no answer for the time.
    static void cut_off(std::vector<standins::worker*> const& workers,
                        milliseconds time);
    /// Does this to the share of the VMs at once.
    void on_vms(fault const& f,
                void (fault_player::*act)(standins::entry_vm&, fault const&));
    /// Closes the address at which the VM reaches the store, or ends that.
    void close_link(standins::entry_vm& vm, bool is_closed);
    void act_on_store(fault const& f, standins::store_action action);
    /// Waits until the log stores a placement, whose answer is lost.
    /// \returns the VM that dispatches then.
    standins::entry_vm* await_stored_placement();
    void act_on_worker(fault const& f, standins::worker_action action);
    void cut_from_store(standins::entry_vm& vm, fault const& f);
    void freeze(standins::entry_vm& vm, fault const& f);
    void kill_for(standins::entry_vm& vm, fault const& f);
    [[nodiscard]] standins::entry_vm& vm_of(fault const& f);
    [[nodiscard]] standins::worker& worker_of(fault const& f);
    [[nodiscard]] standins::entry_vm& dispatcher_or_vm_of(fault const& f);
    std::size_t begin(fault const& f, std::string const& vm,
                      bool planned = false);
    void end(std::size_t index);

    standins::cluster& cluster_;
    dispatcher_watch& watch_;
    standins::record& log_;
    std::mutex mutex_;
    std::vector<trouble> troubles_;
    /// Faults of the store that are at work, by what it does; the last counts.
    std::vector<standins::store_action> store_actions_;
    /// Number of faults that keep a VM down or cut off, by name and kind.
    std::map<std::string, int> down_;
    std::map<std::string, int> cut_;
    std::map<std::string, int> closed_;
    std::map<std::string, int> frozen_;
    std::map<std::string, std::vector<std::unique_ptr<standins::proxy>>>
        peer_links_;
};

} // namespace jasminetrack::soak
