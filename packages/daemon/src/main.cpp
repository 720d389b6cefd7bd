#include "call_chain.hpp"
#include "evacuations_api.hpp"
#include "jobs_api.hpp"
#include "node_driver.hpp"
#include "operator_api.hpp"
#include "process_signals.hpp"
#include "run_entry.hpp"
#include "settings_check.hpp"

#include <jasminetrack/runtime/http_server.hpp>
#include <jasminetrack/runtime/logging.hpp>

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

namespace
{

using namespace jasminetrack;
using namespace jasminetrack::daemon;
using runtime::http_request;
using runtime::http_response;
using runtime::log_level;
using runtime::write_log;

constexpr int exit_settings = 2;
constexpr int exit_start = 3;
constexpr int exit_unclean_stop = 4;
constexpr int library_threads = 6;
constexpr int entry_library_threads = 3;

/// Routes requests to the interfaces that serve them.
struct request_router
{
    node_driver& driver;
    call_chain calls;
    jobs_api jobs;
    operator_api operators;
    evacuations_api evacuations;

    explicit request_router(node_driver& d)
        : driver(d), calls(d), jobs(d), operators(d, calls), evacuations(d)
    {
    }

    http_response route(http_request const& r)
    {
        constexpr std::string_view calls_prefix = "/v1/services/";
        constexpr std::string_view calls_suffix = "/calls";
        constexpr std::string_view jobs_prefix = "/v1/jobs";
        if (r.path.starts_with(calls_prefix) &&
            r.path.ends_with(calls_suffix) &&
            r.path.size() > calls_prefix.size() + calls_suffix.size())
            return calls.serve(
                r.path.substr(calls_prefix.size(), r.path.size() -
                                                       calls_prefix.size() -
                                                       calls_suffix.size()),
                r);
        if (r.path.starts_with(jobs_prefix))
            return jobs.serve(r.path.substr(jobs_prefix.size()), r);
        if (r.path == "/v1/tickets")
            return operators.tickets(r);
        if (r.path == "/v1/evacuations")
            return evacuations.serve(r);
        if (r.path == "/v1/status")
            return operators.status();
        if (r.path == "/v1/timeline")
            return operators.timeline(r);
        if (r.path == "/metrics")
            return operators.metrics();
        if (r.path == "/readyz")
            return operators.ready();
        if (r.path == "/healthz")
            return {status_ok, "{\"alive\":true}", "application/json", {}};
        return not_run_response(status_not_found,
                                {"request.route", driver.settings().node,
                                 "there is no resource " + r.path,
                                 "see docs/PROTOCOLS.md for the resources"});
    }
};

runtime::server_limits http_limits_of(protocol::daemon_settings const& s)
{
    return {s.threads, s.limits.body_bytes, s.limits.header_bytes,
            s.limits.requests};
}

int run(protocol::daemon_settings const& settings, std::string const& path)
{
    node_driver driver(settings);
    request_router router(driver);
    runtime::http_server server(settings.listen, http_limits_of(settings),
                                [&](http_request const& r)
                                { return router.route(r); });
    std::string reason;
    if (!driver.start(reason) || !server.start(reason))
    {
        write_log(log_level::error, "start",
                  {{"peer", settings.listen + " " + settings.mesh},
                   {"reason", reason}});
        return exit_start;
    }
    write_log(log_level::info, "start",
              {{"listen", settings.listen}, {"mesh", settings.mesh}});
    wait_for_stop(
        [&] { log_settings_check(settings, path, protocol::parse_settings); });
    write_log(log_level::info, "stop.drain", {});
    auto const until = runtime::monotonic_ms() + settings.drain_ms;
    bool const handed_over = driver.drain(until);
    bool const answered =
        server.stop(std::max<std::int64_t>(1, until - runtime::monotonic_ms()));
    driver.stop();
    write_log(log_level::info, "stop.done",
              {{"handed_over", handed_over ? "yes" : "no"},
               {"all_answered", answered ? "yes" : "no"}});
    return handed_over && answered ? 0 : exit_unclean_stop;
}

template <typename Settings>
bool print_mistakes(
    jasminetrack::protocol::parse_result<Settings> const& parsed)
{
    for (auto const& m : parsed.diagnostics)
        std::cerr << to_line(m) << '\n';
    return static_cast<bool>(parsed);
}

template <typename Settings>
void prepare_process(Settings const& settings, int threads)
{
    runtime::limit_http_threads(threads);
    runtime::open_log(settings.node, settings.log_level);
}

/// Runs with jasminetrack's own interface.
int start_standalone(std::string const& text, std::string const& path,
                     bool check_only)
{
    auto const parsed = jasminetrack::protocol::parse_settings(text, path);
    if (!print_mistakes(parsed))
        return exit_settings;
    if (check_only)
        return 0;
    prepare_process(parsed.value, library_threads);
    auto const code = run(parsed.value, path);
    runtime::close_log();
    return code;
}

/// Runs as an entry process on a platform with general jobs.
int start_entry(std::string const& text, std::string const& path,
                std::int64_t evacuation_bound_ms, bool check_only)
{
    auto const parsed = jasminetrack::entry::parse_entry_settings(
        text, path, evacuation_bound_ms);
    if (!print_mistakes(parsed))
        return exit_settings;
    if (check_only)
        return 0;
    prepare_process(parsed.value, entry_library_threads);
    return run_entry(parsed.value, path);
}

} // namespace

int main(int argc, char** argv)
{
    block_signals();
    CLI::App app{"jasminetrackd: one entry VM of jasminetrack.\n"
                 "Example: jasminetrackd --settings entry-1.yaml\n"
                 "Exit codes: 0 stopped cleanly, 2 invalid settings, "
                 "3 an address cannot be bound, 4 stopped before all requests "
                 "were answered or all regions handed over"};
    std::string path;
    bool check_only = false;
    std::int64_t evacuation_bound_ms = 0;
    app.add_option("--settings", path, "settings file (YAML)")
        ->envname("JASMINETRACK_NODE_FILE")
        ->required();
    app.add_option("--evacuation-bound-ms", evacuation_bound_ms,
                   "default of the setting jobs.evacuate, in milliseconds")
        ->envname("JASMINETRACK_EVACUATION_BOUND_MS");
    app.add_flag("--check", check_only, "check the settings file and exit");
    CLI11_PARSE(app, argc, argv);

    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    if (!file)
    {
        std::cerr << path << ": the settings file cannot be read\n";
        return exit_settings;
    }
    if (jasminetrack::entry::is_entry_settings(text.str()))
        return start_entry(text.str(), path, evacuation_bound_ms, check_only);
    return start_standalone(text.str(), path, check_only);
}
