#pragma once
/// \file
/// Real processes on loopback: platform, workers and entry VMs, each link
/// between them behind a fault proxy.

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

/// What a test chooses.
struct cluster_settings
{
    int entries = 3;
    int workers = 4; ///< in a region, four to a rack
    std::vector<std::string> regions{"bern"};
    int retention = 0;          ///< records the log keeps; 0: all
    std::string entry_settings; ///< more lines of each settings file
};

/// One entry VM with the proxies on its links.
struct entry_vm
{
    std::string name;
    std::string region;
    std::string listen;
    std::unique_ptr<fault_proxy> to_log;
    std::unique_ptr<fault_proxy> from_peers;
    std::unique_ptr<child_process> process;
};

struct worker_vm
{
    std::string name;
    std::string region;
    std::string direct; ///< IP:port without the proxy
    std::unique_ptr<fault_proxy> proxy;
};

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
    /// Index of the entry VM that owns the region.
    [[nodiscard]] std::size_t owner(std::string const& region = "bern");

    void start_entry(std::size_t i);
    /// Waits until all entry VMs are ready and know all workers.
    void wait_until_ready();
    /// Sets a fault of the platform, such as "down=1".
    void set_platform_option(std::string const& query);
    void set_worker_option(std::size_t i, std::string const& query);
    /// Changes the state of a worker in the list, after `lag_ms`.
    void set_listed_state(std::size_t worker, std::string const& state,
                          int lag_ms);

    http_client_result get(std::size_t entry, std::string const& path,
                           int timeout_ms = 10'000);
    http_client_result
    post(std::size_t entry, std::string const& path, std::string const& body,
         std::map<std::string, std::string> const& headers = {},
         int timeout_ms = 20'000);
    /// Calls a service of team cork.
    http_client_result call(std::size_t entry, std::string const& service,
                            std::string const& key,
                            std::string const& body = "x", int deadline_ms = 0);
    [[nodiscard]] json status(std::size_t entry);
    /// Applies the usual ticket: team cork with services and classes.
    void apply_default_ticket();
    std::string submit(std::size_t entry, std::string const& job_class,
                       std::string const& key, std::string const& payload);
    [[nodiscard]] json job(std::size_t entry, std::string const& id,
                           int wait_ms = 0);
    /// How often targets took a call with this key.
    [[nodiscard]] int call_count(std::string const& key);
    /// All task events of all workers, oldest first.
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

/// Waits for a condition. \returns false after `timeout_ms`.
[[nodiscard]] bool wait_until(std::function<bool()> const& holds,
                              int timeout_ms);

/// The outcome an answer tells: done, not_run, unknown or "none".
[[nodiscard]] std::string outcome_of(http_client_result const& answer);

[[nodiscard]] std::string default_ticket(int number, int weight = 1);

} // namespace process_tests
