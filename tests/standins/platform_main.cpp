/// \file
/// A stand-in for the platform: an append-only log with offsets, retention and
/// long poll, and a list of VMs that can change with a delay. Faults are set
/// with /admin/set.

#include <jasminetrack/protocol/codec.hpp>
#include <jasminetrack/runtime/http_server.hpp>
#include <jasminetrack/runtime/timer_service.hpp>

#include <CLI/CLI.hpp>

#include <algorithm>
#include <condition_variable>
#include <csignal>
#include <deque>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>

namespace
{

using namespace jasminetrack;
using runtime::http_request;
using runtime::http_response;

constexpr std::size_t max_page_records = 1000;

/// \returns a number from the query part, or the fallback if it is missing.
long long query_number(http_request const& r, char const* key,
                       long long fallback)
{
    auto const found = r.query.find(key);
    return found == r.query.end()
               ? fallback
               : std::strtoll(found->second.c_str(), nullptr, 10);
}

/// Keeps the log and the list of VMs, and serves them.
class platform_standin
{
public:
    platform_standin(std::string vms, std::size_t retention)
        : vm_list_(std::move(vms)), retention_(retention)
    {
    }

    http_response serve(http_request const& r)
    {
        if (r.path == "/admin/set")
            return set(r);
        if (r.path == "/admin/vms")
            return set_vms(r);
        if (is_down())
            return {503, "down", "text/plain", {}};
        wait_if_slow();
        if (r.path == "/v1/log" && r.method == "POST")
            return append(r);
        if (r.path == "/v1/log")
            return read(r);
        if (r.path == "/v1/vms")
            return {200, vm_list(), "application/json", {}};
        return {404, "", "text/plain", {}};
    }

private:
    bool is_down()
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        return down_;
    }

    void wait_if_slow()
    {
        std::unique_lock<std::mutex> lock(mutex_);
        if (slow_ms_ > 0)
            changed_.wait_for(lock, std::chrono::milliseconds(slow_ms_),
                              [&] { return slow_ms_ == 0; });
    }

    http_response set(http_request const& r)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        down_ = query_number(r, "down", down_ ? 1 : 0) == 1;
        slow_ms_ = query_number(r, "slow_ms", slow_ms_);
        lose_answers_ = query_number(r, "lose_answers", lose_answers_);
        changed_.notify_all();
        return {200, "{}", "application/json", {}};
    }

    http_response set_vms(http_request const& r)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        pending_vm_list_ = r.body;
        pending_from_ms_ =
            runtime::monotonic_ms() + query_number(r, "lag_ms", 0);
        return {200, "{}", "application/json", {}};
    }

    std::string vm_list()
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        if (!pending_vm_list_.empty() &&
            runtime::monotonic_ms() >= pending_from_ms_)
            vm_list_ = std::exchange(pending_vm_list_, "");
        return vm_list_;
    }

    http_response append(http_request const& r)
    {
        auto const batch =
            protocol::decode_batch({r.body.begin(), r.body.end()});
        if (!batch)
            return {400, batch.failure().reason, "text/plain", {}};
        std::lock_guard<std::mutex> const lock(mutex_);
        for (auto const& data : batch.value())
            log_.push_back({first_ + log_.size(), runtime::wall_ms(), data});
        while (retention_ > 0 && log_.size() > retention_)
        {
            log_.pop_front();
            ++first_;
        }
        changed_.notify_all();
        if (lose_answers_ > 0)
        {
            --lose_answers_;
            return {500, "lost", "text/plain", {}};
        }
        return {200, std::to_string(first_ + log_.size()), "text/plain", {}};
    }

    http_response read(http_request const& r)
    {
        auto const from =
            static_cast<std::uint64_t>(query_number(r, "from", 0));
        auto const wait =
            std::chrono::milliseconds(query_number(r, "wait_ms", 0));
        std::unique_lock<std::mutex> lock(mutex_);
        changed_.wait_for(lock, wait,
                          [&] { return down_ || first_ + log_.size() > from; });
        if (down_)
            return {503, "down", "text/plain", {}};
        if (from < first_)
            return {410, std::to_string(first_), "text/plain", {}};
        protocol::stored_page page;
        page.first = first_;
        page.end = first_ + log_.size();
        for (std::size_t i = from - first_;
             i < log_.size() && page.records.size() < max_page_records; ++i)
            page.records.push_back(log_[i]);
        auto const data = protocol::encode(page);
        return {200, {data.begin(), data.end()}, "application/cbor", {}};
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::string vm_list_;
    std::string pending_vm_list_;
    long long pending_from_ms_ = 0;
    std::size_t retention_;
    std::deque<protocol::stored_record> log_;
    std::uint64_t first_ = 0;
    bool down_ = false;
    long long slow_ms_ = 0;
    long long lose_answers_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Stand-in for the platform."};
    std::string listen;
    std::string vms_path;
    std::size_t retention = 0;
    app.add_option("--listen", listen)->required();
    app.add_option("--vms", vms_path)->required();
    app.add_option("--retention", retention,
                   "records that the log keeps; 0: all");
    CLI11_PARSE(app, argc, argv);

    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    runtime::limit_http_threads(6);

    std::ifstream file(vms_path);
    std::stringstream vms;
    vms << file.rdbuf();
    platform_standin p(vms.str(), retention);
    runtime::server_limits bounds;
    bounds.threads = 64;
    bounds.body_bytes = 16 * 1024 * 1024;
    bounds.requests = 1024;
    runtime::http_server server(
        listen, bounds, [&](http_request const& r) { return p.serve(r); });
    std::string reason;
    if (!server.start(reason))
    {
        std::cerr << "stand-in platform cannot listen on " << listen << ": "
                  << reason << '\n';
        return 3;
    }
    int caught = 0;
    sigwait(&signals, &caught);
    return 0;
}
