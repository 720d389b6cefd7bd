#pragma once
/// \file
/// Simulation of nodes, a log and stand-in workers in one process, with
/// simulated time. Equal seeds give equal event sequences.

#include "worker_model.hpp"

#include <jasminetrack/core/node.hpp>

#include <functional>
#include <memory>
#include <random>

namespace support
{

namespace core = jasminetrack::core;
using core::milliseconds;

/// Parameters of a simulation.
struct world_settings
{
    std::uint32_t seed = 1;
    int nodes = 3;
    int workers = 8;
    int workers_per_rack = 4;
    int racks_per_data_center = 0; ///< 0: no data centers are listed
    int accelerators = 8;
    std::string region = "bern";
    core::timing_settings timing;
    core::policy_settings policy;
};

/// Nodes, a log, links and workers with simulated time. Members of the cluster
/// can be paused, killed or cut off.
class cluster_simulation
{
public:
    explicit cluster_simulation(world_settings settings);

    [[nodiscard]] milliseconds now() const noexcept
    {
        return now_;
    }
    [[nodiscard]] core::node& node(std::string const& name);
    /// \returns the state after all records of the log.
    [[nodiscard]] core::cluster_state const& state();
    /// \returns the node that owns the region; empty if there is none.
    [[nodiscard]] std::string owner();
    /// \returns the events of all workers, in order of time.
    [[nodiscard]] std::vector<standins::worker_event> worker_events() const;
    [[nodiscard]] std::vector<core::log_entry> const& log() const noexcept
    {
        return log_;
    }

    /// Advances the time by `ms`.
    void run(milliseconds ms);
    /// Advances the time until the condition holds.
    /// \returns false if it does not hold within `timeout_ms`.
    [[nodiscard]] bool run_until(std::function<bool()> const& condition,
                                 milliseconds timeout_ms);
    /// Appends a record as an external writer.
    core::apply_result write(core::record body);
    /// Submits a job. \returns its id.
    core::job_id submit(std::string const& job_class, std::string const& key,
                        std::string const& payload);

    void pause(std::string const& node);
    void resume(std::string const& node);
    void kill(std::string const& node);
    void cut_log(std::string const& node, bool cut);
    void cut_peers(std::string const& node, bool cut);
    /// Cuts these nodes and workers off, together, from the log and from all
    /// others.
    void cut_off(std::set<std::string> nodes, std::set<std::string> workers);
    void end_cut();
    void set_log_down(bool down) noexcept
    {
        log_down_ = down;
    }
    /// An unresponsive worker keeps running, but orders do not reach it.
    void set_unresponsive(std::string const& worker, bool unresponsive);
    /// Orders reach the worker, and its answers are lost.
    void lose_answers(std::string const& worker)
    {
        unheard_.insert(worker);
    }
    /// Disconnects one node from one worker.
    void disconnect_worker(std::string const& node, std::string const& worker)
    {
        cut_workers_.insert({node, worker});
    }
    /// Removes a worker together with its tasks.
    void kill_worker(std::string const& worker);
    /// Delivers the last order of a node to each worker again.
    void redeliver_orders(std::string const& node);
    [[nodiscard]] standins::worker_model& worker(std::string const& name);
    [[nodiscard]] std::vector<std::string> worker_names() const;

private:
    struct node_state
    {
        std::unique_ptr<core::node> logic;
        std::uint64_t sequence = 0;
        std::vector<core::log_entry> unsent;
        bool paused = false;
        bool log_cut = false;
        bool peers_cut = false;
    };

    void step();
    void step_node(std::string const& name, node_state& m);
    void deliver(node_state& m, core::event const& e);
    void execute(node_state& m, core::actions const& todo);
    void send_order(node_state& m, core::order_action const& a);
    void append_unsent_records(node_state& m);
    [[nodiscard]] bool reaches_log(node_state const& m) const;
    /// \returns whether the nodes or workers are on different sides of a cut.
    [[nodiscard]] bool are_separated(std::string const& a,
                                     std::string const& b) const;
    void schedule(milliseconds delay, std::function<void()> work);
    [[nodiscard]] milliseconds latency();

    world_settings settings_;
    std::mt19937 random_;
    milliseconds now_ = 1'000'000;
    std::map<std::string, node_state> members_;
    std::map<std::string, standins::worker_model> models_;
    std::vector<standins::worker_event> lost_events_;
    std::map<std::string, std::map<std::string, core::worker_order>>
        last_orders_; ///< by node and worker
    std::set<std::pair<std::string, std::string>> cut_workers_;
    std::set<std::string> unresponsive_;
    std::set<std::string> unheard_; ///< workers whose answers are lost
    std::set<std::string> cut_off_; ///< nodes and workers beyond a cut
    std::vector<core::worker> listed_;
    std::set<std::string> listed_nodes_;
    std::vector<core::log_entry> log_;
    core::cluster_state observer_;
    std::multimap<milliseconds, std::function<void()>> scheduled_;
    std::uint64_t outside_sequence_ = 0;
    bool log_down_ = false;
};

/// Checks the workers' events against the rules for gangs: no member starts
/// before all are prepared, attempts of a job do not overlap, and a job is done
/// only once.
/// \returns one line for each violation.
[[nodiscard]] std::vector<std::string>
find_gang_faults(std::vector<standins::worker_event> const& events,
                 std::map<core::job_id, core::job> const& jobs);

/// \returns a ticket with a team that has `count` guarantees of the shape, a
/// job class "TEAM-spare" of that shape and, if count > 0, a class
/// "TEAM-guaranteed" that uses the guarantee.
[[nodiscard]] core::ticket
simple_ticket(core::ticket_number number, std::string const& team,
              std::string const& region, int count,
              core::shape wanted = {8, 1, 0, 0, core::adjacency::worker});

} // namespace support
