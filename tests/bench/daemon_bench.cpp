/// \file
/// Benchmark of entry VMs among stand-ins: latency of calls through an entry VM
/// and of direct calls; processor time, memory and traffic when idle; time
/// from the kill of an owner to the next start.

#include "cluster.hpp"

#include <jasminetrack/runtime/timer_service.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace
{

using namespace process_tests;
using jasminetrack::runtime::monotonic_ms;

constexpr int calls = 1000;
constexpr int idle_s = 10;
constexpr int failovers = 5;

double percentile(std::vector<double> v, double p)
{
    std::sort(v.begin(), v.end());
    auto const at =
        static_cast<std::size_t>(p * static_cast<double>(v.size() - 1));
    return v[at];
}

double time_ms(std::function<void()> const& work)
{
    using clock = std::chrono::steady_clock;
    auto const begin = clock::now();
    work();
    std::chrono::duration<double, std::milli> const elapsed =
        clock::now() - begin;
    return elapsed.count();
}

void print_latency(char const* name, std::vector<double> const& v)
{
    std::printf("%-34s p50 %7.2f ms  p99 %7.2f ms\n", name, percentile(v, 0.5),
                percentile(v, 0.99));
}

void measure_latency(cluster& c)
{
    for (std::size_t i = 0; i < c.workers().size(); ++i)
        c.set_worker_option(i, "call_ms=0");
    jasminetrack::runtime::http_client client;
    std::vector<double> direct;
    std::vector<double> idempotent;
    std::vector<double> at_most_once;
    int failed = 0;
    for (int i = 0; i < calls; ++i)
    {
        http_client_request call;
        call.address = c.workers()[0].direct;
        call.method = "POST";
        call.path = "/receipts";
        call.body = "x";
        call.fresh_connection = true;
        call.headers["X-Request-Key"] = "d";
        direct.push_back(time_ms([&] { (void)client.send(call); }));
        auto const key = std::to_string(i);
        idempotent.push_back(time_ms(
            [&]
            { failed += outcome_of(c.call(0, "receipts", key)) != "done"; }));
        at_most_once.push_back(time_ms(
            [&] { failed += outcome_of(c.call(0, "labels", key)) != "done"; }));
    }
    print_latency("direct call of the stand-in", direct);
    print_latency("idempotent call through entry VM", idempotent);
    print_latency("at-most-once call through entry VM", at_most_once);
    std::printf("calls not done: %d of %d\n", failed, 2 * calls);
}

/// \returns processor time of a process in seconds.
double cpu_seconds(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), {});
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    constexpr int before_times = 11;
    for (int i = 0; i < before_times; ++i)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/// \returns resident memory of a process in MiB.
double resident_mb(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1048576;
}

void measure_idle(cluster& c)
{
    auto const owner = c.owner();
    std::vector<double> cpu;
    std::vector<std::uint64_t> log_bytes;
    std::vector<std::uint64_t> peer_bytes;
    for (auto& e : c.entries())
    {
        cpu.push_back(cpu_seconds(e.process->pid()));
        log_bytes.push_back(e.to_log->bytes());
        peer_bytes.push_back(e.from_peers->bytes());
    }
    std::this_thread::sleep_for(std::chrono::seconds(idle_s));
    for (std::size_t i = 0; i < c.entries().size(); ++i)
    {
        auto& e = c.entry(i);
        std::printf(
            "idle %s%s: %.2f %% of a core, %.1f MB, log and VM list %.0f "
            "B/s, from %zu peers %.0f B/s\n",
            e.name.c_str(), i == owner ? " (owner)" : "",
            100 * (cpu_seconds(e.process->pid()) - cpu[i]) / idle_s,
            resident_mb(e.process->pid()),
            static_cast<double>(e.to_log->bytes() - log_bytes[i]) / idle_s,
            c.entries().size() - 1,
            static_cast<double>(e.from_peers->bytes() - peer_bytes[i]) /
                idle_s);
    }
}

void measure_failover()
{
    for (int round = 0; round < failovers; ++round)
    {
        cluster c({});
        c.apply_default_ticket();
        auto const owner = c.owner();
        std::size_t const other = owner == 0 ? 1 : 0;
        c.entry(owner).process->kill();
        auto const begun = monotonic_ms();
        auto const id = c.submit(other, "sure", "u", "run_ms=100");
        bool const started = wait_until(
            [&] { return c.job(other, id)["state"] == "running"; }, 20'000);
        std::printf("kill of the owner to the next start: %lld ms%s\n",
                    static_cast<long long>(monotonic_ms() - begun),
                    started ? "" : " (not started)");
    }
}

} // namespace

int main()
{
    {
        cluster_settings s;
        s.entries = 8;
        s.workers = 8;
        cluster c(s);
        c.apply_default_ticket();
        measure_idle(c);
        measure_latency(c);
    }
    measure_failover();
    return 0;
}
