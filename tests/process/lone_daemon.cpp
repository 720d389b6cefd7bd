#include "lone_daemon.hpp"

#include "cluster.hpp"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace process_tests
{
namespace
{

using jasminetrack::runtime::http_client;

constexpr int start_timeout_ms = 20'000;
constexpr int answer_timeout_ms = 2'000;

std::string unused_address()
{
    return "127.0.0.1:" + std::to_string(free_port());
}

bool is_answered(http_endpoint const& e)
{
    http_client client;
    http_client_request call;
    call.address = e.address;
    call.path = e.path;
    call.timeout_ms = answer_timeout_ms;
    call.fresh_connection = true;
    return client.send(call).result == delivery::answered;
}

} // namespace

lone_daemon::lone_daemon(interface served)
{
    folder_ = (std::filesystem::temp_directory_path() / "jasminetrack-XXXXXX")
                  .string();
    if (mkdtemp(folder_.data()) == nullptr)
        throw std::runtime_error("cannot create " + folder_);
    auto const settings = write_settings(served);
    process_ = std::make_unique<child_process>(
        std::vector<std::string>{std::string(JASMINETRACK_BUILD_DIR) +
                                     "/packages/daemon/jasminetrackd",
                                 "--settings", settings},
        folder_ + "/daemon.log", true);
    if (!wait_until([this] { return answers(); }, start_timeout_ms))
        throw std::runtime_error("the daemon does not answer");
}

lone_daemon::~lone_daemon()
{
    process_.reset();
    std::filesystem::remove_all(folder_);
}

std::string lone_daemon::write_settings(interface served)
{
    auto const listen = unused_address();
    auto const mesh = unused_address();
    auto const path = folder_ + "/daemon.yaml";
    std::ofstream out(path);
    out << "node: lone\nregion: bern\ndata_center: bern-1\nlisten: " << listen
        << "\nmesh: " << mesh << "\n";
    if (served == interface::own)
    {
        out << "platform: " << unused_address() << "\n";
        mesh_ = {"mesh", mesh, "/mesh"};
        endpoints_ = {{"own interface", listen, "/healthz"}};
        return path;
    }
    auto const ready = unused_address();
    out << "ready: " << ready << "\nlog: " << unused_address()
        << "\nstop_within: 12s\njobs: {}\n";
    endpoints_ = {{"callers", listen, "/any"},
                  {"readiness", ready, "/metrics"},
                  {"peers", mesh, "/any"}};
    return path;
}

bool lone_daemon::answers() const
{
    return std::all_of(endpoints_.begin(), endpoints_.end(), is_answered);
}

int lone_daemon::count_log_lines(std::string const& text) const
{
    std::ifstream in(folder_ + "/daemon.log");
    int n = 0;
    for (std::string line; std::getline(in, line);)
        n += line.find(text) != std::string::npos ? 1 : 0;
    return n;
}

} // namespace process_tests
