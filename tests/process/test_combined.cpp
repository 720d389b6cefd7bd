/// \file
/// A seeded run that injects faults at random under load, then compares the
/// records of the stand-ins with the answers that callers got.

#include "cluster.hpp"
#include "cluster_simulation.hpp"
#include "section.hpp"

#include <jasminetrack/runtime/timer_service.hpp>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <random>
#include <thread>

namespace
{

using namespace process_tests;
using jasminetrack::runtime::monotonic_ms;
using support::expect;
using support::section;

constexpr int run_ms = 40'000;
constexpr int entries = 4;
constexpr int workers = 6;

/// The last answer that a caller got for a key.
struct final_outcome
{
    std::string outcome;
    std::string body;
};

/// Runs load and injects faults; records the answers that callers got.
class fault_injection_run
{
public:
    fault_injection_run(cluster& c, std::uint32_t seed)
        : cluster_(c), seed_(seed)
    {
    }

    std::map<std::string, final_outcome> labels;
    std::map<std::string, std::string> jobs; ///< key -> id
    std::map<std::string, int> faults;
    std::atomic<int> ticket_reversions{0};
    std::atomic<int> wrong_answers{0};
    std::atomic<int> done_calls{0};

    void run()
    {
        std::vector<std::thread> threads;
        for (int t = 0; t < 3; ++t)
            threads.emplace_back([this, t] { call_labels(t); });
        threads.emplace_back([this] { call_receipts(); });
        threads.emplace_back([this] { submit_jobs(); });
        threads.emplace_back([this] { apply_tickets(); });
        threads.emplace_back([this] { monitor_tickets(); });
        inject_faults();
        stopping_ = true;
        for (auto& t : threads)
            t.join();
    }

private:
    /// Sleeps for `ms` or until the run stops.
    /// \returns whether the run continues.
    bool sleep_unless_stopping(int ms)
    {
        (void)wait_until([&] { return stopping_.load(); }, ms);
        return !stopping_;
    }

    /// Calls one entry VM after the other until the outcome is done.
    final_outcome call_until_done(std::string const& service,
                                  std::string const& key, int first)
    {
        final_outcome last{"none", ""};
        for (int i = 0; i < entries; ++i)
        {
            auto const a =
                cluster_.call(static_cast<std::size_t>((first + i) % entries),
                              service, key, "x", 4000);
            if (a.result == delivery::not_sent)
                continue;
            last = {outcome_of(a), a.body};
            if (last.outcome == "done")
            {
                ++done_calls;
                if (a.body.find("\"" + key + "\"") == std::string::npos)
                    ++wrong_answers;
                return last;
            }
        }
        return last;
    }

    void call_labels(int thread)
    {
        for (int i = 0; sleep_unless_stopping(50); ++i)
        {
            auto const key =
                "L" + std::to_string(thread) + "-" + std::to_string(i);
            auto const t = call_until_done("labels", key, i + thread);
            std::lock_guard<std::mutex> const lock(mutex_);
            labels[key] = t;
        }
    }

    void call_receipts()
    {
        for (int i = 0; sleep_unless_stopping(20); ++i)
            (void)call_until_done("receipts", "R" + std::to_string(i), i);
    }

    void submit_jobs()
    {
        std::mt19937 random(seed_ + 1);
        for (int i = 0; sleep_unless_stopping(700); ++i)
        {
            auto const key = "J" + std::to_string(i);
            json const body{
                {"team", "cork"},
                {"key", key},
                {"job_class", random() % 3 == 0 ? "sure" : "spare"},
                {"payload", "run_ms=" + std::to_string(200 + random() % 3000)}};
            for (int k = 0; k < 3 * entries; ++k)
            {
                auto const a =
                    cluster_.post(static_cast<std::size_t>((i + k) % entries),
                                  "/v1/jobs", body.dump());
                if (a.status != 200)
                    continue;
                std::lock_guard<std::mutex> const lock(mutex_);
                jobs[key] = json::parse(a.body)["job"];
                break;
            }
        }
    }

    void apply_tickets()
    {
        for (int n = 2; sleep_unless_stopping(1500); ++n)
            for (std::size_t k = 0; k < 2; ++k)
                (void)cluster_.post(
                    (static_cast<std::size_t>(n) + k) % entries, "/v1/tickets",
                    default_ticket(n, n % 100 + static_cast<int>(k) + 1));
    }

    /// Counts how often an entry VM shows a lower ticket number than before.
    void monitor_tickets()
    {
        std::map<std::size_t, int> highest;
        while (sleep_unless_stopping(100))
            for (std::size_t i = 0; i < entries; ++i)
            {
                auto const a = cluster_.get(i, "/v1/tickets", 1000);
                auto const shown = json::parse(a.body, nullptr, false);
                if (a.status != 200 || !shown.value("current", false))
                    continue;
                int const number =
                    shown["in_force"].contains("team/cork")
                        ? shown["in_force"]["team/cork"]["number"].get<int>()
                        : 0;
                if (number < highest[i])
                    ++ticket_reversions;
                highest[i] = std::max(highest[i], number);
            }
    }

    void inject_faults()
    {
        std::mt19937 random(seed_);
        auto const until = monotonic_ms() + run_ms;
        while (monotonic_ms() < until)
        {
            auto const i = random() % entries;
            auto const w = random() % cluster_.workers().size();
            int const ms = 500 + static_cast<int>(random() % 4500);
            inject_fault(static_cast<int>(random() % 7), i, w, ms);
            (void)sleep_unless_stopping(300);
        }
    }

    void inject_fault(int kind, std::size_t i, std::size_t w, int ms)
    {
        auto& e = cluster_.entry(i);
        auto& proxy = *cluster_.workers()[w].proxy;
        switch (kind)
        {
        case 0:
            ++faults["kill"];
            e.process->kill();
            (void)sleep_unless_stopping(ms / 4);
            cluster_.start_entry(i);
            break;
        case 1:
            ++faults["pause"];
            e.process->signal(SIGSTOP);
            (void)sleep_unless_stopping(ms);
            e.process->signal(SIGCONT);
            break;
        case 2:
            ++faults["log unreachable"];
            e.to_log->set_blocked(true);
            (void)sleep_unless_stopping(ms);
            e.to_log->clear_faults();
            break;
        case 3:
            ++faults["log down"];
            cluster_.set_platform_option("down=1");
            (void)sleep_unless_stopping(ms);
            cluster_.set_platform_option("down=0");
            break;
        case 4:
            ++faults["lost append answers"];
            cluster_.set_platform_option("lose_answers=4");
            break;
        case 5:
            ++faults["stalled worker"];
            proxy.set_traffic(traffic::discard, traffic::discard, false);
            (void)sleep_unless_stopping(ms);
            proxy.clear_faults();
            break;
        default:
            ++faults["stalled peer"];
            e.from_peers->set_traffic(traffic::discard, traffic::pass, true);
            break;
        }
    }

    cluster& cluster_;
    std::uint32_t seed_;
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
};

class test_combined : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_combined);
    CPPUNIT_TEST(guarantees_hold_under_mixed_faults);
    CPPUNIT_TEST_SUITE_END();

    static void check_labels(cluster& c, fault_injection_run const& run)
    {
        std::map<std::string, int> count;
        for (auto const& [key, t] : run.labels)
        {
            int const runs = c.call_count(key);
            ++count[t.outcome];
            expect(runs <= 1, key + " ran " + std::to_string(runs) + " times");
            if (t.outcome == "done")
                expect(runs == 1, key + " is reported done, but did not run");
            if (t.outcome == "not_run")
                expect(runs == 0, key + " is reported not run, but ran");
        }
        for (auto const& [outcome, n] : count)
            std::cout << " " << outcome << " " << n;
    }

    static void check_gangs(cluster& c, fault_injection_run const& run)
    {
        std::map<support::core::job_id, support::core::job> known;
        for (auto const& [key, id] : run.jobs)
        {
            auto const j = c.job(0, id, 60'000);
            expect(j["state"] == "ended" && j["end"] == "done",
                   key + ": " + j.dump());
            known[id].id = id;
            known[id].gang.members = 8;
        }
        std::vector<standins::worker_event> events;
        for (auto const& e : c.task_events())
            events.push_back(
                {e["at"], e["worker"], e["what"], e["task"], e["detail"]});
        auto const faults = support::find_gang_faults(events, known);
        expect(faults.empty(), faults.empty() ? "" : faults.front());
        std::cout << " jobs " << known.size();
    }

public:
    void guarantees_hold_under_mixed_faults()
    {
        char const* seed_text = std::getenv("JASMINETRACK_SEED");
        std::uint32_t const seed =
            seed_text == nullptr
                ? 20261204
                : static_cast<std::uint32_t>(std::atoi(seed_text));
        std::cout << " [seed " << seed << "]";
        cluster_settings s;
        s.entries = entries;
        s.workers = workers;
        cluster c(s);
        c.apply_default_ticket();
        fault_injection_run run(c, seed);
        run.run();
        for (auto const& [fault, n] : run.faults)
            std::cout << " " << fault << " " << n;
        c.wait_until_ready();
        expect(run.done_calls > 50,
               "more than 50 calls are done under the faults");
        expect(run.wrong_answers == 0,
               "each answer has the key of its request");
        expect(run.ticket_reversions == 0,
               "no entry VM returned to an older ticket");
        section("labels", [&] { check_labels(c, run); });
        section("gangs", [&] { check_gangs(c, run); });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_combined);

} // namespace
