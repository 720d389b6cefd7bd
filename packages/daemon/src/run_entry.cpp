#include "run_entry.hpp"

#include "process_signals.hpp"
#include "settings_check.hpp"

#include <jasminetrack/platform/adapter.hpp>
#include <jasminetrack/runtime/http_server.hpp>
#include <jasminetrack/runtime/logging.hpp>

#include <chrono>
#include <cstdlib>
#include <thread>

namespace jasminetrack::daemon
{
namespace
{

using runtime::http_request;
using runtime::log_level;
using runtime::write_log;

constexpr int exit_start = 3;
constexpr int exit_unclean_stop = 4;
/// The load balancer checks once a second and stops sending callers after two
/// failed checks.
constexpr std::int64_t balancer_removal_ms = 2'600;
/// Open requests are answered for up to this part of stop_within.
constexpr std::int64_t answering_divisor = 3;
constexpr int monitoring_threads = 2;
constexpr int peer_threads = 12;
constexpr std::int64_t max_relayed_body_bytes = 4 * 1024 * 1024;
constexpr std::int64_t max_request_body_bytes = 512 * 1024;
constexpr std::int64_t max_header_bytes = 16 * 1024;
constexpr std::int64_t max_open_requests = 512;

/// The default of the bound of evacuations is not in the file.
void log_reload(entry::entry_settings const& in_force, std::string const& path)
{
    auto const parse = [&](std::string const& text, std::string const& file)
    {
        return entry::parse_entry_settings(text, file,
                                           in_force.limits.evacuation_bound_ms);
    };
    log_settings_check(in_force, path, parse);
}

} // namespace

int run_entry(entry::entry_settings const& settings, std::string const& path)
{
    platform::adapter adapter(settings);
    entry::entry_node node(settings, adapter.ports());
    runtime::server_limits limits;
    limits.threads = static_cast<int>(settings.threads);
    limits.body_bytes = max_request_body_bytes;
    limits.header_bytes = max_header_bytes;
    limits.requests = max_open_requests;
    runtime::http_server callers(settings.listen, limits,
                                 [&](http_request const& r)
                                 { return platform::handle_request(node, r); });
    limits.threads = monitoring_threads;
    runtime::http_server monitoring(
        settings.ready, limits,
        [&](http_request const& r)
        { return platform::handle_monitoring_request(node, r); });
    limits.threads = peer_threads;
    limits.body_bytes = max_relayed_body_bytes;
    runtime::http_server peers(settings.mesh, limits,
                               [&](http_request const& r)
                               { return node.serve_peer(r); });
    std::string reason;
    if (!callers.start(reason) || !monitoring.start(reason) ||
        !peers.start(reason))
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
    wait_for_stop([&] { log_reload(settings, path); });
    write_log(log_level::info, "stop.drain", {});
    node.drain();
    std::this_thread::sleep_for(std::chrono::milliseconds(balancer_removal_ms));
    bool const answered =
        callers.drain(settings.stop_within_ms / answering_divisor);
    write_log(log_level::info, "stop.done",
              {{"all_answered", answered ? "yes" : "no"}});
    runtime::close_log();
    // Destructors are skipped: the process holds nothing that must be saved.
    std::_Exit(answered ? 0 : exit_unclean_stop);
}

} // namespace jasminetrack::daemon
