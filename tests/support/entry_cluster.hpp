#pragma once
/// \file
/// Entry nodes in one process that share an in-memory platform.

#include "silent_log.hpp"

#include <jasminetrack/entry/entry_node.hpp>

#include <deque>
#include <thread>

namespace support
{

/// Duration of every task.
inline constexpr tasks::milliseconds cluster_run_ms = 100;
/// Time limit of each wait.
inline constexpr tasks::milliseconds cluster_timeout_ms = 10'000;

/// \returns a configuration with the queue "batch" of the team "team".
inline tasks::configuration single_queue_configuration()
{
    tasks::configuration c;
    c.version = 1;
    tasks::queue q;
    q.name = "batch";
    q.host = "h";
    q.prefix = "/b/";
    q.service = "service";
    q.max_attempts = 3;
    c.queues = {q};
    c.teams = {{"team", {"key"}, 0}};
    return c;
}

/// \returns the queue of that configuration.
inline tasks::queue batch_queue()
{
    return single_queue_configuration().queues.front();
}

/// \returns a job of two steps of three tasks, one after the other.
inline tasks::job_spec two_step_job()
{
    tasks::job_spec spec;
    tasks::step_spec step;
    step.count = 3;
    step.need = {1'000, 1'000, 1};
    step.estimate_ms = cluster_run_ms;
    spec.steps = {step, step};
    spec.steps[1].after = {0};
    return spec;
}

/// Entry nodes that share one log and three workers.
class entry_cluster
{
public:
    explicit entry_cluster(
        int count, tasks::milliseconds run_ms = cluster_run_ms,
        tasks::configuration const& config = single_queue_configuration(),
        tasks::dispatch_limits const& limits = {})
        : workers(run_ms), decoder(config), limits_(limits)
    {
        log.put(entry::topic::configuration, "config", "1");
        for (int i = 0; i < 3; ++i)
            log.put(entry::topic::workers, "w" + std::to_string(i), "1");
        for (int i = 0; i < count; ++i)
            add_node("node" + std::to_string(i));
    }

    void add_node(std::string const& name)
    {
        add_node(name, log);
    }

    /// Adds a node with a way to the log whose reads can become silent.
    /// \param jobs  silence of its reads of the jobs from the start
    silent_log& add_silent_node(std::string const& name,
                                silence jobs = silence::none)
    {
        auto& path = paths.emplace_back(log);
        path.set_silence(entry::topic::jobs, jobs);
        add_node(name, path);
        return path;
    }

    template <typename Condition> bool wait_until(Condition const& condition)
    {
        auto const until = runtime::monotonic_ms() + cluster_timeout_ms;
        while (!condition() && runtime::monotonic_ms() < until)
            std::this_thread::yield();
        return condition();
    }

    bool wait_until_ready()
    {
        return wait_until([&] { return nodes[0]->is_ready(); });
    }

    /// Submits a job of two steps at the first node.
    /// \returns whether the node has accepted it.
    bool submit(std::string const& id)
    {
        entry::caller const who{"team", 3'000};
        return nodes[0]->requests().submit(who, batch_queue(), id,
                                           two_step_job()) ==
               entry::submit_result::accepted;
    }

    bool wait_for_completion(std::string const& id)
    {
        return wait_until(
            [&]
            {
                return nodes[0]->requests().find_status(id) ==
                       entry::job_status{entry::status_result::found,
                                         tasks::job_phase::completed};
            });
    }

    memory_log log;
    memory_workers workers;
    memory_decoder decoder;
    std::deque<silent_log> paths;
    std::vector<std::unique_ptr<entry::entry_node>> nodes;

private:
    void add_node(std::string const& name, entry::log_port& path)
    {
        entry::entry_settings s;
        s.node = name;
        s.mesh = "127.0.0.1:1";
        s.limits = limits_;
        nodes.push_back(std::make_unique<entry::entry_node>(
            s, entry::platform_ports{path, workers, decoder}));
        nodes.back()->start();
    }

    tasks::dispatch_limits limits_;
};

} // namespace support
