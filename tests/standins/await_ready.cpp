/// \file
/// Waits until entry VMs are ready and know a number of live workers.
/// Exits with 1 if that takes longer than 30 s.

#include <jasminetrack/runtime/http_client.hpp>
#include <jasminetrack/runtime/http_server.hpp>
#include <jasminetrack/runtime/timer_service.hpp>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <iostream>
#include <thread>

namespace
{

using namespace jasminetrack::runtime;
using nlohmann::json;

constexpr std::int64_t ready_timeout_ms = 30'000;
constexpr std::chrono::milliseconds poll_interval{50};

/// \returns the number of workers that the entry VM knows to be live, or -1
/// while it is not ready.
int live_workers(http_client& client, std::string const& entry)
{
    http_client_request call;
    call.address = entry;
    call.fresh_connection = true;
    call.path = "/readyz";
    call.timeout_ms = 1000;
    if (client.send(call).status != 200)
        return -1;
    call.path = "/v1/status";
    auto const status = json::parse(client.send(call).body, nullptr, false);
    if (!status.is_object())
        return -1;
    int live = 0;
    for (auto const& [name, region] : status.at("regions").items())
        live += region.at("workers").value("live", 0);
    return live;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Waits until entry VMs are ready and know their workers."};
    std::vector<std::string> entries;
    int workers = 0;
    app.add_option("--entry", entries, "IP:port of an entry VM")->required();
    app.add_option("--workers", workers, "live workers to wait for");
    CLI11_PARSE(app, argc, argv);
    limit_http_threads(2);
    http_client client;
    auto const until = monotonic_ms() + ready_timeout_ms;
    for (auto const& entry : entries)
        while (live_workers(client, entry) < workers)
        {
            if (monotonic_ms() > until)
            {
                std::cerr << entry << " is not ready or knows fewer than "
                          << workers << " live workers after 30 s\n";
                return 1;
            }
            std::this_thread::sleep_for(poll_interval);
        }
    return 0;
}
