#pragma once
/// \file
/// A cluster of processes on loopback: a stand-in platform, stand-in workers
/// and entry VMs. The connections of entry VMs to the log, to each other and to
/// workers pass through fault proxies.

#include "child_process.hpp"
#include "fault_proxy.hpp"

#include <jasminetrack/runtime/http_client.hpp>

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>

namespace process_tests
{

using jasminetrack::runtime::delivery;
using jasminetrack::runtime::http_client_request;
using jasminetrack::runtime::http_client_result;
using nlohmann::json;

/// Size and settings of a cluster.
struct cluster_settings
{
    int entries = 3;
    int workers = 4;                 ///< in each region, four to a rack
    int workers_per_data_center = 0; ///< 0: no data centers are listed
    std::vector<std::string> regions{"bern"};
    int retention = 0;          ///< records that the log keeps; 0: all
    std::string entry_settings; ///< lines added to each settings file
};

/// An entry VM with the proxies of its connections.
struct entry_vm
{
    std::string name;
    std::string region;
    std::string listen;
    std::unique_ptr<fault_proxy> to_log;
    std::unique_ptr<fault_proxy> from_peers;
    std::unique_ptr<child_process> process;
};

/// A worker with the proxy that entry VMs reach it through.
struct worker_vm
{
    std::string name;
    std::string region;
    std::string direct; ///< IP:port of the worker itself
    std::unique_ptr<fault_proxy> proxy;
};

/// Starts all processes and stops them on destruction.
class cluster
{
public:
    explicit cluster(cluster_settings settings);
    ~cluster();

    [[nodiscard]] entry_vm& entry(std::size_t i)
    {
        return entries_.at(i);
    }
    [[nodiscard]] std::vector<entry_vm>& entries() noexcept
    {
        return entries_;
    }
    [[nodiscard]] std::vector<worker_vm>& workers() noexcept
    {
        return workers_;
    }
    [[nodiscard]] std::string const& platform() const noexcept
    {
        return platform_address_;
    }
    /// \returns index of the entry VM that owns the region.
    /// \throws std::runtime_error if no entry VM owns it
    [[nodiscard]] std::size_t owner(std::string const& region = "bern");

    void start_entry(std::size_t i);
    /// Waits until all entry VMs are ready and know all workers.
    /// \throws std::runtime_error after 30 s
    void wait_until_ready();
    /// Sets an option of the stand-in platform, such as "down=1".
    void set_platform_option(std::string const& query);
    /// Sets an option of a stand-in worker, such as "call_ms=500".
    void set_worker_option(std::size_t i, std::string const& query);
    /// Changes the state of a worker in the platform's list after `lag_ms`.
    void set_listed_state(std::size_t worker, std::string const& state,
                          int lag_ms);

    http_client_result get(std::size_t entry, std::string const& path,
                           int timeout_ms = 10'000);
    http_client_result
    post(std::size_t entry, std::string const& path, std::string const& body,
         std::map<std::string, std::string> const& headers = {},
         int timeout_ms = 20'000);
    /// Calls a service as team cork; `deadline_ms` 0 sends no deadline.
    http_client_result call(std::size_t entry, std::string const& service,
                            std::string const& key,
                            std::string const& body = "x", int deadline_ms = 0);
    [[nodiscard]] json status(std::size_t entry);
    /// Applies default_ticket(1) and waits until it is in force at all entry
    /// VMs.
    void apply_default_ticket();
    /// Submits a job as team cork.
    /// \returns the id of the job.
    std::string submit(std::size_t entry, std::string const& job_class,
                       std::string const& key, std::string const& payload);
    /// \returns the status of a job, after up to `wait_ms` for its end.
    [[nodiscard]] json job(std::size_t entry, std::string const& id,
                           int wait_ms = 0);
    /// \returns how many calls with this key the targets accepted.
    [[nodiscard]] int call_count(std::string const& key);
    /// \returns how many calls each worker accepted.
    [[nodiscard]] std::vector<int> call_counts();
    /// Runs the command-line program against all entry VMs.
    /// \returns its exit code and its output, errors included.
    [[nodiscard]] std::pair<int, std::string>
    run_command(std::vector<std::string> const& arguments);
    /// \returns the task events of all workers, oldest first.
    [[nodiscard]] std::vector<json> task_events();

private:
    [[nodiscard]] std::string vm_list() const;
    [[nodiscard]] json records_of(worker_vm const& w);

    cluster_settings settings_;
    std::string folder_;
    std::string platform_address_;
    std::unique_ptr<child_process> platform_;
    std::vector<std::unique_ptr<child_process>> worker_processes_;
    std::vector<worker_vm> workers_;
    std::map<std::size_t, std::string> states_;
    std::vector<entry_vm> entries_;
    jasminetrack::runtime::http_client client_;
};

/// Waits until a condition holds.
/// \returns false if it does not hold within `timeout_ms`.
[[nodiscard]] bool wait_until(std::function<bool()> const& holds,
                              int timeout_ms);

/// \returns the outcome in an answer: done, not_run or unknown; "none" without
/// an answer.
[[nodiscard]] std::string outcome_of(http_client_result const& answer);

/// \returns a ticket with team cork, two services and two job classes.
[[nodiscard]] std::string default_ticket(int number, int weight = 1);

} // namespace process_tests
