/// \file
/// Signals in any order and number, before, during and after a planned stop:
/// only SIGTERM and SIGINT end the process, and always by a planned stop.

#include "cluster.hpp"
#include "lone_daemon.hpp"
#include "section.hpp"

#include <array>
#include <atomic>
#include <csignal>
#include <future>
#include <random>

namespace
{

using namespace process_tests;
using support::expect;
using support::section;

constexpr int timeout_ms = 15'000;
constexpr std::array<int, 2> harmless_signals{SIGHUP, SIGPIPE};

/// Sends SIGHUP and SIGPIPE in random order.
void send_harmless(child_process const& process, int count, unsigned seed)
{
    std::minstd_rand random(seed);
    for (int i = 0; i < count; ++i)
        process.signal(harmless_signals[random() % harmless_signals.size()]);
}

class test_signals : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_signals);
    CPPUNIT_TEST(reload_and_pipe_signals_end_no_serving_process);
    CPPUNIT_TEST(reload_and_pipe_signals_do_not_end_a_planned_stop);
    CPPUNIT_TEST(endless_reload_signals_do_not_delay_a_stop);
    CPPUNIT_TEST(a_repeated_stop_signal_does_not_end_a_planned_stop);
    CPPUNIT_TEST_SUITE_END();

    template <typename Check> static void for_each_daemon(Check const& check)
    {
        section("interface of the platform",
                [&]
                {
                    lone_daemon d(lone_daemon::interface::platform);
                    check(d);
                });
        section("own interface",
                [&]
                {
                    lone_daemon d(lone_daemon::interface::own);
                    check(d);
                });
    }

    /// Sends `signals` again and again until the process has ended.
    template <typename Signals>
    static int wait_while_sending(lone_daemon& d, Signals const& signals)
    {
        int code = 0;
        auto const ended = [&]
        {
            for (int const s : signals)
                d.process().signal(s);
            return d.process().poll_exit(code);
        };
        expect(wait_until(ended, timeout_ms), "the process ends");
        return code;
    }

    static void wait_for_drain(lone_daemon const& d)
    {
        expect(wait_until([&] { return d.count_log_lines("stop.drain") > 0; },
                          timeout_ms),
               "the planned stop begins");
    }

    static void expect_planned_stop(lone_daemon const& d, int code)
    {
        expect(code == 0, "exit code " + std::to_string(code));
        expect(d.count_log_lines("stop.done") == 1, "the stop is complete");
    }

public:
    void reload_and_pipe_signals_end_no_serving_process()
    {
        constexpr int count = 200;
        for_each_daemon(
            [](lone_daemon& d)
            {
                for (unsigned seed = 1; seed <= 5; ++seed)
                {
                    send_harmless(d.process(), count, seed);
                    int code = 0;
                    expect(!d.process().poll_exit(code),
                           "ended with " + std::to_string(code));
                    expect(d.answers(), "callers are served");
                }
                d.process().signal(SIGTERM);
                expect_planned_stop(d, d.process().wait());
            });
    }

    void reload_and_pipe_signals_do_not_end_a_planned_stop()
    {
        for (int const first : {SIGTERM, SIGINT})
            section("after signal " + std::to_string(first),
                    [&]
                    {
                        for_each_daemon(
                            [&](lone_daemon& d)
                            {
                                d.process().signal(first);
                                expect_planned_stop(
                                    d, wait_while_sending(d, harmless_signals));
                            });
                    });
    }

    void endless_reload_signals_do_not_delay_a_stop()
    {
        for_each_daemon(
            [](lone_daemon& d)
            {
                std::atomic<bool> stopping{false};
                auto const storm =
                    std::async(std::launch::async,
                               [&]
                               {
                                   while (!stopping)
                                       d.process().signal(SIGHUP);
                               });
                d.process().signal(SIGTERM);
                bool const begun = wait_until(
                    [&] { return d.count_log_lines("stop.drain") > 0; },
                    timeout_ms);
                stopping = true;
                storm.wait();
                expect(begun, "the planned stop begins");
                expect_planned_stop(d, d.process().wait());
            });
    }

    void a_repeated_stop_signal_does_not_end_a_planned_stop()
    {
        constexpr std::array<int, 4> all{SIGTERM, SIGHUP, SIGINT, SIGPIPE};
        for_each_daemon(
            [&](lone_daemon& d)
            {
                d.process().signal(SIGHUP);
                d.process().signal(SIGTERM);
                wait_for_drain(d);
                expect_planned_stop(d, wait_while_sending(d, all));
            });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_signals);

} // namespace
