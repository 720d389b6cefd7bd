#pragma once
/// \file
/// Small fakes at a node's interfaces: a log, links and stand-in workers,
/// moved by a manual clock. One seed gives one course of events.

#include "worker_model.hpp"

#include <jasminetrack/core/node.hpp>

#include <functional>
#include <memory>
#include <random>

namespace support
{

namespace core = jasminetrack::core;
using core::milliseconds;

/// What a test chooses about a cluster_simulation.
struct world_settings
{
    std::uint32_t seed = 1;
    int nodes = 3;
    int workers = 8;
    int workers_per_rack = 4;
    int accelerators = 8;
    std::string region = "bern";
    core::timing_settings timing;
    core::policy_settings policy;
};

/// Nodes, a log and workers in one process.
class cluster_simulation
{
public:
    explicit cluster_simulation(world_settings settings);

    [[nodiscard]] milliseconds now() const noexcept
    {
        return now_;
    }
    [[nodiscard]] core::node& node(std::string const& name);
    /// State of the first node that runs.
    [[nodiscard]] core::cluster_state const& state();
    [[nodiscard]] std::string owner();
    [[nodiscard]] std::vector<standins::worker_event> worker_events() const;
    [[nodiscard]] std::vector<core::log_entry> const& log() const noexcept
    {
        return log_;
    }

    /// Lets time pass.
    void run(milliseconds ms);
    /// Lets time pass until it holds. \returns false after `most` ms.
    [[nodiscard]] bool run_until(std::function<bool()> const& holds,
                                 milliseconds most);
    /// Writes a record as an outside caller.
    core::apply_result write(core::record body);
    core::job_id submit(std::string const& job_class, std::string const& key,
                        std::string const& payload);

    void pause(std::string const& node);
    void resume(std::string const& node);
    void kill(std::string const& node);
    void cut_log(std::string const& node, bool cut);
    void cut_peers(std::string const& node, bool cut);
    void set_log_down(bool down) noexcept
    {
        log_down_ = down;
    }
    /// A silent worker goes on, but nobody hears it.
    void silence_worker(std::string const& worker, bool silent);
    /// This node and this worker do not hear each other; others do.
    void disconnect_worker(std::string const& node, std::string const& worker)
    {
        cut_workers_.insert({node, worker});
    }
    /// The worker dies with its tasks.
    void lose_worker(std::string const& worker);
    /// Delivers the last order of a node to each worker once more.
    void deliver_again(std::string const& node);
    [[nodiscard]] standins::worker_model& worker(std::string const& name);
    [[nodiscard]] std::vector<std::string> worker_names() const;

private:
    struct member
    {
        std::unique_ptr<core::node> logic;
        std::uint64_t sequence = 0;
        std::vector<core::log_entry> unsent;
        bool paused = false;
        bool log_cut = false;
        bool peers_cut = false;
    };

    void step();
    void drive(std::string const& name, member& m);
    void feed(member& m, core::event const& e);
    void perform(member& m, core::actions const& todo);
    void send_order(member& m, core::order_action const& a);
    void flush(member& m);
    void later(milliseconds delay, std::function<void()> work);
    [[nodiscard]] milliseconds latency();

    world_settings settings_;
    std::mt19937 random_;
    milliseconds now_ = 1'000'000;
    std::map<std::string, member> members_;
    std::map<std::string, standins::worker_model> models_;
    std::vector<standins::worker_event> lost_events_;
    std::map<std::string, std::map<std::string, core::worker_order>>
        last_orders_; ///< by node and worker
    std::set<std::pair<std::string, std::string>> cut_workers_;
    std::set<std::string> silent_;
    std::vector<core::worker> listed_;
    std::vector<core::log_entry> log_;
    core::cluster_state observer_;
    std::multimap<milliseconds, std::function<void()>> agenda_;
    std::uint64_t outside_sequence_ = 0;
    bool log_down_ = false;
};

/// \returns what is wrong with how gangs ran, from the workers' own records:
/// members started before all were prepared, two attempts of a job running
/// at once, a job done twice.
[[nodiscard]] std::vector<std::string>
find_gang_faults(std::vector<standins::worker_event> const& events,
                 std::map<core::job_id, core::job> const& jobs);

/// A team with `count` guarantees of a worker-adjacent gang of 8, a class
/// "sure" that draws on them and a class "spare" of the same shape.
[[nodiscard]] core::ticket
simple_ticket(core::ticket_number number, std::string const& team,
              std::string const& region, int count,
              core::shape wanted = {8, 1, 0, 0, core::adjacency::worker});

} // namespace support
