#include "call_chain.hpp"
#include "jobs_api.hpp"
#include "node_driver.hpp"
#include "operator_api.hpp"
#include "run_entry.hpp"

#include <jasminetrack/runtime/http_server.hpp>
#include <jasminetrack/runtime/logging.hpp>

#include <CLI/CLI.hpp>
#include <csignal>
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
constexpr int exit_cut_off = 4;
constexpr int library_threads = 6;
constexpr int entry_library_threads = 3;

/// Everything that serves requests.
struct service_parts
{
    node_driver& state;
    call_chain calls;
    jobs_api jobs;
    operator_api operators;

    explicit service_parts(node_driver& c)
        : state(c), calls(c), jobs(c), operators(c, calls)
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
        return not_run_reply(status_not_found,
                             {"request.route", state.settings().node,
                              "there is no resource " + r.path,
                              "see docs/PROTOCOLS.md"});
    }
};

runtime::server_limits bounds_of(protocol::daemon_settings const& s)
{
    return {s.threads, s.limits.body_bytes, s.limits.header_bytes,
            s.limits.requests};
}

void block_signals(sigset_t& set)
{
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void wait_for(sigset_t const& set)
{
    int caught = 0;
    sigwait(&set, &caught);
}

int run(protocol::daemon_settings const& settings, sigset_t const& signals)
{
    node_driver state(settings);
    service_parts parts(state);
    runtime::http_server server(settings.listen, bounds_of(settings),
                                [&](http_request const& r)
                                { return parts.route(r); });
    std::string reason;
    if (!state.start(reason) || !server.start(reason))
    {
        write_log(log_level::error, "start",
                  {{"peer", settings.listen + " " + settings.mesh},
                   {"reason", reason}});
        return exit_start;
    }
    write_log(log_level::info, "start",
              {{"listen", settings.listen}, {"mesh", settings.mesh}});
    wait_for(signals);
    write_log(log_level::info, "stop.drain", {});
    auto const until = runtime::monotonic_ms() + settings.drain_ms;
    bool const handed_over = state.drain(until);
    bool const answered =
        server.stop(std::max<std::int64_t>(1, until - runtime::monotonic_ms()));
    state.stop();
    write_log(log_level::info, "stop.done",
              {{"handed_over", handed_over ? "yes" : "no"},
               {"all_answered", answered ? "yes" : "no"}});
    return handed_over && answered ? 0 : exit_cut_off;
}

template <typename Settings>
bool report(jasminetrack::protocol::parse_result<Settings> const& parsed)
{
    for (auto const& m : parsed.diagnostics)
        std::cerr << to_line(m) << '\n';
    return static_cast<bool>(parsed);
}

template <typename Settings>
void prepare_process(Settings const& settings, sigset_t& signals, int threads)
{
    block_signals(signals);
    runtime::limit_http_threads(threads);
    runtime::open_log(settings.node, settings.log_level);
}

/// Runs with the product's own interface.
int start_own(std::string const& text, std::string const& path, bool check_only)
{
    auto const parsed = jasminetrack::protocol::parse_settings(text, path);
    if (!report(parsed))
        return exit_settings;
    if (check_only)
        return 0;
    sigset_t signals;
    prepare_process(parsed.value, signals, library_threads);
    auto const code = run(parsed.value, signals);
    runtime::close_log();
    return code;
}

/// Runs on a platform with general jobs.
int start_entry(std::string const& text, std::string const& path,
                bool check_only)
{
    auto const parsed = jasminetrack::entry::parse_entry_settings(text, path);
    if (!report(parsed))
        return exit_settings;
    if (check_only)
        return 0;
    sigset_t signals;
    sigemptyset(&signals);
    prepare_process(parsed.value, signals, entry_library_threads);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return run_entry(parsed.value, path, signals);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"jasminetrackd: one entry VM of jasminetrack.\n"
                 "Example: jasminetrackd --settings entry-1.yaml\n"
                 "Exit codes: 0 stopped cleanly, 2 settings are wrong, "
                 "3 an address is taken, 4 stopped before all was answered "
                 "or handed over"};
    std::string path;
    bool check_only = false;
    app.add_option("--settings", path, "settings file (YAML)")
        ->envname("JASMINETRACK_NODE_FILE")
        ->required();
    app.add_flag("--check", check_only, "check the settings and exit");
    CLI11_PARSE(app, argc, argv);

    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    if (!file)
    {
        std::cerr << path << ": cannot be read\n";
        return exit_settings;
    }
    if (jasminetrack::entry::is_entry_settings(text.str()))
        return start_entry(text.str(), path, check_only);
    return start_own(text.str(), path, check_only);
}
