#include "run_entry.hpp"

#include <jasminetrack/platform/adapter.hpp>
#include <jasminetrack/runtime/http_server.hpp>
#include <jasminetrack/runtime/logging.hpp>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>

namespace jasminetrack::daemon
{
namespace
{

using runtime::http_request;
using runtime::log_level;
using runtime::write_log;

constexpr int exit_start = 3;
constexpr int exit_cut_off = 4;
/// The balancer looks once a second and needs two misses.
constexpr std::int64_t leave_rotation_ms = 2'600;
/// Of the time to stop, the part that answering may still take.
constexpr std::int64_t answering_part = 3;
constexpr int check_threads = 2;
constexpr int peer_threads = 12;
constexpr std::int64_t relayed_bytes = 4 * 1024 * 1024;
constexpr std::int64_t request_bytes = 512 * 1024;
constexpr std::int64_t header_bytes = 16 * 1024;
constexpr std::int64_t most_requests = 512;

/// \returns after a signal that ends the process.
void serve_until_stopped(entry::entry_settings const& settings,
                         std::string const& path, sigset_t const& signals)
{
    for (;;)
    {
        int caught = 0;
        sigwait(&signals, &caught);
        if (caught != SIGHUP)
            return;
        std::ifstream file(path);
        std::stringstream text;
        text << file.rdbuf();
        auto const parsed = entry::parse_entry_settings(text.str(), path);
        bool const same = parsed && parsed.value == settings;
        write_log(log_level::info, "reload",
                  {{"valid", parsed ? "yes" : "no"},
                   {"changed", same ? "no" : "yes"},
                   {"remedy", same ? "" : "restart to use changed settings"}});
    }
}

} // namespace

int run_entry(entry::entry_settings const& settings, std::string const& path,
              sigset_t const& signals)
{
    platform::adapter adapter(settings);
    entry::entry_node node(settings, adapter.ports());
    runtime::server_limits bounds;
    bounds.threads = static_cast<int>(settings.threads);
    bounds.body_bytes = request_bytes;
    bounds.header_bytes = header_bytes;
    bounds.requests = most_requests;
    runtime::http_server callers(settings.listen, bounds,
                                 [&](http_request const& r)
                                 { return platform::handle_request(node, r); });
    bounds.threads = check_threads;
    runtime::http_server checks(
        settings.ready, bounds,
        [&](http_request const& r)
        { return platform::handle_monitoring_request(node, r); });
    bounds.threads = peer_threads;
    bounds.body_bytes = relayed_bytes;
    runtime::http_server peers(settings.mesh, bounds,
                               [&](http_request const& r)
                               { return node.serve_peer(r); });
    std::string reason;
    if (!callers.start(reason) || !checks.start(reason) || !peers.start(reason))
    {
        write_log(log_level::error, "start",
                  {{"peer", settings.listen + " " + settings.ready + " " +
                                settings.mesh},
                   {"reason", reason}});
        return exit_start;
    }
    node.start();
    write_log(log_level::info, "start",
              {{"listen", settings.listen},
               {"ready", settings.ready},
               {"log", settings.log}});
    serve_until_stopped(settings, path, signals);
    write_log(log_level::info, "stop.drain", {});
    node.drain();
    std::this_thread::sleep_for(std::chrono::milliseconds(leave_rotation_ms));
    bool const answered =
        callers.drain(settings.stop_within_ms / answering_part);
    write_log(log_level::info, "stop.done",
              {{"all_answered", answered ? "yes" : "no"}});
    runtime::close_log();
    // Nothing is kept, so nothing is torn down: callers on open connections
    // are answered to the last moment.
    std::_Exit(answered ? 0 : exit_cut_off);
}

} // namespace jasminetrack::daemon
