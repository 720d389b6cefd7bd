#include "cluster.hpp"

#include <jasminetrack/runtime/timer_service.hpp>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>

namespace process_tests
{
namespace
{

using jasminetrack::runtime::header_value;
using jasminetrack::runtime::monotonic_ms;

constexpr std::chrono::milliseconds poll_interval{20};
constexpr int ready_timeout_ms = 30'000;

std::string binary_path(std::string const& path)
{
    return std::string(JASMINETRACK_BUILD_DIR) + "/" + path;
}

std::string loopback_address(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

bool wait_until(std::function<bool()> const& holds, int timeout_ms)
{
    auto const until = monotonic_ms() + timeout_ms;
    while (!holds())
    {
        if (monotonic_ms() >= until)
            return false;
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

std::string outcome_of(http_client_result const& answer)
{
    if (answer.result != delivery::answered)
        return "none";
    return header_value(answer.headers, "x-outcome");
}

std::string default_ticket(int number, int weight)
{
    return "number: " + std::to_string(number) + R"(
author: test
reason: usual
teams:
  - name: cork
    weight: )" +
           std::to_string(weight) + R"(
    guarantees:
      - region: bern
        members: 8
        accelerators: 1
        adjacent: worker
services:
  - name: receipts
    team: cork
    deadline: 3s
  - name: labels
    team: cork
    idempotent: false
    deadline: 5s
job_classes:
  - name: spare
    team: cork
    region: bern
    members: 8
    accelerators: 1
    adjacent: worker
  - name: sure
    team: cork
    region: bern
    members: 8
    accelerators: 1
    adjacent: worker
    draws_on: guarantee
)";
}

cluster::cluster(cluster_settings settings) : settings_(std::move(settings))
{
    folder_ = (std::filesystem::temp_directory_path() / "jasminetrack-XXXXXX")
                  .string();
    if (mkdtemp(folder_.data()) == nullptr)
        throw std::runtime_error("cannot create " + folder_);
    platform_address_ = loopback_address(free_port());
    for (auto const& region : settings_.regions)
        for (int i = 0; i < settings_.workers; ++i)
        {
            worker_vm t;
            t.name = region + std::to_string(i);
            t.region = region;
            int const port = free_port();
            t.direct = loopback_address(port);
            t.proxy = std::make_unique<fault_proxy>(t.direct);
            worker_processes_.push_back(std::make_unique<child_process>(
                std::vector<std::string>{binary_path("tests/standin_worker"),
                                         "--prefix", region, "--first-number",
                                         std::to_string(i), "--first-port",
                                         std::to_string(port)},
                folder_ + "/workers.log"));
            workers_.push_back(std::move(t));
        }
    for (int i = 0; i < settings_.entries; ++i)
    {
        entry_vm e;
        e.name = "entry-" + std::to_string(i);
        e.region = settings_.regions[static_cast<std::size_t>(i) %
                                     settings_.regions.size()];
        e.listen = loopback_address(free_port());
        e.to_log = std::make_unique<fault_proxy>(platform_address_);
        e.from_peers =
            std::make_unique<fault_proxy>(loopback_address(free_port()));
        entries_.push_back(std::move(e));
    }
    for (auto& e : entries_)
    {
        auto const mesh = loopback_address(free_port());
        e.from_peers = std::make_unique<fault_proxy>(mesh);
        std::ofstream(folder_ + "/" + e.name + ".yaml")
            << "node: " << e.name << "\nregion: " << e.region
            << "\ndata_center: " << e.region << "-1\nlisten: " << e.listen
            << "\nmesh: " << mesh << "\nplatform: " << e.to_log->address()
            << "\n"
            << settings_.entry_settings;
    }
    std::ofstream(folder_ + "/vms.json") << vm_list();
    platform_ = std::make_unique<child_process>(
        std::vector<std::string>{binary_path("tests/standin_platform"),
                                 "--listen", platform_address_, "--vms",
                                 folder_ + "/vms.json", "--retention",
                                 std::to_string(settings_.retention)},
        folder_ + "/platform.log");
    for (std::size_t i = 0; i < entries_.size(); ++i)
        start_entry(i);
    wait_until_ready();
}

cluster::~cluster()
{
    for (auto& e : entries_)
        e.process.reset();
    worker_processes_.clear();
    platform_.reset();
    if (std::getenv("JASMINETRACK_KEEP") != nullptr)
        std::cerr << "kept " << folder_ << '\n';
    else
        std::filesystem::remove_all(folder_);
}

std::string cluster::vm_list() const
{
    json vms = json::array();
    for (auto const& e : entries_)
        vms.push_back({{"name", e.name},
                       {"role", "entry"},
                       {"region", e.region},
                       {"mesh", e.from_peers->address()}});
    for (std::size_t i = 0; i < workers_.size(); ++i)
    {
        auto const state = states_.find(i);
        constexpr std::size_t rack_size = 4;
        vms.push_back(
            {{"name", workers_[i].name},
             {"role", "worker"},
             {"region", workers_[i].region},
             {"rack",
              workers_[i].region + "-rack" + std::to_string(i / rack_size)},
             {"address", workers_[i].proxy->address()},
             {"accelerators", 8},
             {"millicores", 64000},
             {"memory_mb", 256000},
             {"state", state == states_.end() ? "live" : state->second}});
        if (int const size = settings_.workers_per_data_center; size > 0)
            vms.back()["data_center"] =
                workers_[i].region + "-dc" +
                std::to_string(static_cast<int>(i) / size);
    }
    return json{{"vms", vms}}.dump();
}

void cluster::start_entry(std::size_t i)
{
    auto& e = entries_.at(i);
    e.process = std::make_unique<child_process>(
        std::vector<std::string>{binary_path("packages/daemon/jasminetrackd"),
                                 "--settings",
                                 folder_ + "/" + e.name + ".yaml"},
        folder_ + "/" + e.name + ".log");
}

void cluster::wait_until_ready()
{
    for (std::size_t i = 0; i < entries_.size(); ++i)
    {
        auto const ready = [&]
        {
            if (get(i, "/readyz", 1000).status != 200)
                return false;
            int live = 0;
            auto const regions = status(i)["regions"];
            for (auto const& [name, r] : regions.items())
                live += r["workers"].value("live", 0);
            return live == static_cast<int>(workers_.size());
        };
        if (!wait_until(ready, ready_timeout_ms))
            throw std::runtime_error(
                entries_[i].name +
                " is not ready or does not know all workers");
    }
}

std::size_t cluster::owner(std::string const& region)
{
    for (std::size_t i = 0; i < entries_.size(); ++i)
    {
        auto const answer = get(i, "/v1/status", 1000);
        if (answer.status != 200)
            continue;
        auto const name =
            json::parse(answer.body)["regions"][region].value("owner", "");
        for (std::size_t k = 0; k < entries_.size(); ++k)
            if (entries_[k].name == name)
                return k;
    }
    throw std::runtime_error("no entry VM owns region " + region);
}

void cluster::set_platform_option(std::string const& query)
{
    http_client_request c;
    c.address = platform_address_;
    c.path = "/admin/set?" + query;
    c.fresh_connection = true;
    (void)client_.send(c);
}

void cluster::set_worker_option(std::size_t i, std::string const& query)
{
    http_client_request c;
    c.address = workers_.at(i).direct;
    c.path = "/admin/set?" + query;
    c.fresh_connection = true;
    (void)client_.send(c);
}

void cluster::set_listed_state(std::size_t worker, std::string const& state,
                               int lag_ms)
{
    states_[worker] = state;
    http_client_request c;
    c.address = platform_address_;
    c.method = "PUT";
    c.path = "/admin/vms?lag_ms=" + std::to_string(lag_ms);
    c.body = vm_list();
    c.fresh_connection = true;
    (void)client_.send(c);
}

http_client_result cluster::get(std::size_t entry, std::string const& path,
                                int timeout_ms)
{
    http_client_request c;
    c.address = entries_.at(entry).listen;
    c.path = path;
    c.timeout_ms = timeout_ms;
    c.fresh_connection = true;
    return client_.send(c);
}

http_client_result
cluster::post(std::size_t entry, std::string const& path,
              std::string const& body,
              std::map<std::string, std::string> const& headers, int timeout_ms)
{
    http_client_request c;
    c.address = entries_.at(entry).listen;
    c.method = "POST";
    c.path = path;
    c.body = body;
    c.headers = headers;
    c.timeout_ms = timeout_ms;
    c.fresh_connection = true;
    return client_.send(c);
}

http_client_result cluster::call(std::size_t entry, std::string const& service,
                                 std::string const& key,
                                 std::string const& body, int deadline_ms)
{
    std::map<std::string, std::string> headers{{"X-Team", "cork"},
                                               {"X-Request-Key", key}};
    if (deadline_ms > 0)
        headers["X-Deadline-Ms"] = std::to_string(deadline_ms);
    return post(entry, "/v1/services/" + service + "/calls", body, headers);
}

json cluster::status(std::size_t entry)
{
    return json::parse(get(entry, "/v1/status").body);
}

void cluster::apply_default_ticket()
{
    auto const answer = post(0, "/v1/tickets", default_ticket(1));
    if (answer.status != 200)
        throw std::runtime_error("ticket refused: " + answer.body +
                                 answer.reason);
    for (std::size_t i = 0; i < entries_.size(); ++i)
        if (!wait_until(
                [&]
                {
                    return json::parse(get(i, "/v1/tickets").body)["in_force"]
                        .contains("team/cork");
                },
                6000))
            throw std::runtime_error("ticket is not in force at " +
                                     entries_[i].name);
}

std::string cluster::submit(std::size_t entry, std::string const& job_class,
                            std::string const& key, std::string const& payload)
{
    json const body{{"team", "cork"},
                    {"key", key},
                    {"job_class", job_class},
                    {"payload", payload}};
    auto const answer = post(entry, "/v1/jobs", body.dump());
    if (answer.status != 200)
        throw std::runtime_error("job not accepted: " + answer.body +
                                 answer.reason);
    return json::parse(answer.body)["job"];
}

json cluster::job(std::size_t entry, std::string const& id, int wait_ms)
{
    auto const answer =
        get(entry, "/v1/jobs/" + id + "?wait_ms=" + std::to_string(wait_ms),
            wait_ms + 10'000);
    return json::parse(answer.body, nullptr, false);
}

json cluster::records_of(worker_vm const& w)
{
    http_client_request c;
    c.address = w.direct;
    c.path = "/admin/records";
    c.fresh_connection = true;
    return json::parse(client_.send(c).body);
}

int cluster::call_count(std::string const& key)
{
    int runs = 0;
    for (auto const& w : workers_)
    {
        auto const records = records_of(w);
        for (auto const& call : records["calls"])
            runs += call["key"] == key ? 1 : 0;
    }
    return runs;
}

std::vector<int> cluster::call_counts()
{
    std::vector<int> counts;
    for (auto const& w : workers_)
        counts.push_back(static_cast<int>(records_of(w)["calls"].size()));
    return counts;
}

std::pair<int, std::string>
cluster::run_command(std::vector<std::string> const& arguments)
{
    std::vector<std::string> command{binary_path("packages/cli/jasminetrack")};
    for (auto const& e : entries_)
    {
        command.emplace_back("--entry");
        command.push_back(e.listen);
    }
    command.insert(command.end(), arguments.begin(), arguments.end());
    auto const path = folder_ + "/command.out";
    std::filesystem::remove(path);
    int const code = child_process(command, path, true).wait();
    std::ifstream file(path);
    return {code, {std::istreambuf_iterator<char>(file), {}}};
}

std::vector<json> cluster::task_events()
{
    std::vector<json> all;
    for (auto const& w : workers_)
    {
        auto const records = records_of(w);
        all.insert(all.end(), records["tasks"].begin(), records["tasks"].end());
    }
    std::stable_sort(all.begin(), all.end(),
                     [](json const& a, json const& b)
                     { return a["at"] < b["at"]; });
    return all;
}

} // namespace process_tests
