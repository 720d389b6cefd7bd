/// \file
/// Stand-in workers: each serves orders and the calls of services. Options and
/// faults are set with /admin/set.

#include "worker_model.hpp"

#include <jasminetrack/protocol/codec.hpp>
#include <jasminetrack/runtime/http_server.hpp>
#include <jasminetrack/runtime/timer_service.hpp>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <condition_variable>
#include <csignal>
#include <iostream>
#include <mutex>

namespace
{

using namespace jasminetrack;
using nlohmann::json;
using runtime::http_request;
using runtime::http_response;

/// Calls that a worker serves at once; more are refused as busy.
constexpr int call_slots = 8;

/// One worker: its model, its call slots and the records of its calls.
class worker_standin
{
public:
    worker_standin(std::string name, int accelerators)
        : name_(name), model_(std::move(name), accelerators)
    {
    }

    http_response serve(http_request const& r)
    {
        if (r.path == "/v1/order")
            return order(r);
        if (r.path == "/admin/records")
            return records();
        if (r.path == "/admin/set")
            return set(r);
        return call(r);
    }

    void tick()
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        model_.tick(runtime::monotonic_ms());
    }

private:
    http_response order(http_request const& r)
    {
        auto const parsed = protocol::parse_order(r.body);
        if (!parsed)
            return {400, parsed.failure().reason, "text/plain", {}};
        std::lock_guard<std::mutex> const lock(mutex_);
        auto const report =
            model_.handle_order(runtime::monotonic_ms(), parsed.value());
        return {200, protocol::to_json_text(report), "application/json", {}};
    }

    http_response records()
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        json tasks = json::array();
        for (auto const& e : model_.events())
            tasks.push_back({{"at", e.at_ms},
                             {"worker", e.worker},
                             {"what", e.what},
                             {"task", e.task},
                             {"detail", e.detail}});
        json const all{{"tasks", tasks}, {"calls", calls_}};
        return {200, all.dump(), "application/json", {}};
    }

    http_response set(http_request const& r)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        auto const value = [&](char const* key) -> long long
        {
            auto const found = r.query.find(key);
            return found == r.query.end()
                       ? -1
                       : std::strtoll(found->second.c_str(), nullptr, 10);
        };
        if (value("failing") >= 0)
            model_.set_failing(value("failing") == 1);
        if (value("leaving") >= 0)
            leaving_ = value("leaving") == 1;
        if (value("call_ms") >= 0)
            call_ms_ = value("call_ms");
        if (value("wrong_key") >= 0)
            wrong_key_ = value("wrong_key") == 1;
        return {200, "{}", "application/json", {}};
    }

    static http_response refuse_call(char const* why)
    {
        return {503, "", "text/plain", {{"X-Not-Run", why}}};
    }

    http_response call(http_request const& r)
    {
        auto const key = runtime::header_value(r.headers, "x-request-key");
        std::unique_lock<std::mutex> lock(mutex_);
        if (leaving_)
            return refuse_call("leaving");
        if (busy_ >= call_slots)
            return refuse_call("busy");
        ++busy_;
        calls_.push_back({{"at", runtime::monotonic_ms()},
                          {"worker", name_},
                          {"service", r.path},
                          {"key", key}});
        never_notified_.wait_for(lock, std::chrono::milliseconds(call_ms_),
                                 [] { return false; });
        --busy_;
        http_response response;
        response.body = "{\"service\":\"" + r.path + "\",\"worker\":\"" +
                        name_ + "\",\"key\":\"" + key +
                        "\",\"bytes\":" + std::to_string(r.body.size()) + "}";
        response.headers["X-Request-Key"] = wrong_key_ ? "other" : key;
        response.headers["X-Digest"] = runtime::digest_of(response.body);
        return response;
    }

    std::string name_;
    std::mutex mutex_;
    std::condition_variable never_notified_;
    standins::worker_model model_;
    json calls_ = json::array();
    bool leaving_ = false;
    bool wrong_key_ = false;
    long long call_ms_ = 5;
    int busy_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Stand-in workers on consecutive ports."};
    std::string prefix = "w";
    std::string ip = "127.0.0.1";
    int first_port = 0;
    int count = 1;
    int first_number = 0;
    int accelerators = 8;
    app.add_option("--first-number", first_number);
    app.add_option("--prefix", prefix);
    app.add_option("--ip", ip);
    app.add_option("--first-port", first_port)->required();
    app.add_option("--count", count);
    app.add_option("--accelerators", accelerators);
    CLI11_PARSE(app, argc, argv);

    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    runtime::limit_http_threads(8);

    std::vector<std::unique_ptr<worker_standin>> workers;
    std::vector<std::unique_ptr<runtime::http_server>> servers;
    for (int i = 0; i < count; ++i)
    {
        auto const name = prefix + std::to_string(first_number + i);
        workers.push_back(std::make_unique<worker_standin>(name, accelerators));
        runtime::server_limits bounds;
        bounds.threads = count > 16 ? 2 : 12;
        auto* w = workers.back().get();
        servers.push_back(std::make_unique<runtime::http_server>(
            ip + ":" + std::to_string(first_port + i), bounds,
            [w](http_request const& r) { return w->serve(r); }));
        std::string reason;
        if (!servers.back()->start(reason))
        {
            std::cerr << "stand-in worker " << name
                      << " cannot listen: " << reason << '\n';
            return 3;
        }
    }
    runtime::timer_service timers;
    constexpr std::int64_t tick_ms = 10;
    timers.subscribe(tick_ms,
                     [&]
                     {
                         for (auto& w : workers)
                             w->tick();
                     });
    int caught = 0;
    sigwait(&signals, &caught);
    timers.stop();
    return 0;
}
