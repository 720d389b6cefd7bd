/// \file
/// The last requests before a planned stop: those that a server has begun to
/// read are answered, and nothing is read after it has said that it is done.

#include "cluster.hpp"
#include "lone_daemon.hpp"
#include "raw_connection.hpp"
#include "section.hpp"

#include <jasminetrack/runtime/http_server.hpp>

#include <atomic>
#include <chrono>
#include <csignal>
#include <future>
#include <random>
#include <thread>

namespace
{

using namespace process_tests;
using namespace std::chrono_literals;
using jasminetrack::runtime::http_request;
using jasminetrack::runtime::http_response;
using jasminetrack::runtime::http_server;
using support::expect;
using support::section;
using steady_clock = std::chrono::steady_clock;

constexpr int drain_ms = 3'000;
constexpr int timeout_ms = 5'000;
std::string const request = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

/// A server in this process that counts the requests it handles.
struct counting_server
{
    counting_server()
        : address("127.0.0.1:" + std::to_string(free_port())),
          server(address, {},
                 [this](http_request const&)
                 {
                     ++handled;
                     http_response r;
                     r.body = "x";
                     return r;
                 })
    {
        std::string reason;
        expect(server.start(reason), reason);
    }

    /// Stops on another thread.
    std::future<bool> begin_stop()
    {
        return std::async(std::launch::async,
                          [this] { return server.stop(drain_ms); });
    }

    std::string address;
    std::atomic<int> handled{0};
    http_server server;
};

/// Gives a process a part of the processor's time, until it is destroyed.
class starved_process
{
public:
    starved_process(child_process const& process,
                    std::chrono::milliseconds stopped,
                    std::chrono::milliseconds running)
        : thread_(
              [=, this, pid = process.pid()]
              {
                  while (!done_)
                  {
                      ::kill(pid, SIGSTOP);
                      std::this_thread::sleep_for(stopped);
                      ::kill(pid, SIGCONT);
                      std::this_thread::sleep_for(running);
                  }
              })
    {
    }
    ~starved_process()
    {
        done_ = true;
        thread_.join();
    }
    starved_process(starved_process const&) = delete;
    starved_process& operator=(starved_process const&) = delete;

private:
    std::atomic<bool> done_{false};
    std::thread thread_;
};

std::string get_request(http_endpoint const& endpoint)
{
    return "GET " + endpoint.path + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

/// Sends requests on one connection with pauses, until it ends.
/// \returns how long the last request, which has no answer, was sent before the
/// end; 0 if the connection ended between two requests.
std::chrono::milliseconds call_until_end(http_endpoint const& endpoint,
                                         unsigned seed)
{
    constexpr int min_pause_ms = 0;
    constexpr int max_pause_ms = 900;
    std::mt19937 random(seed);
    std::uniform_int_distribution<int> pause_ms(min_pause_ms, max_pause_ms);
    raw_connection c(endpoint.address, 10 * timeout_ms);
    auto const text = get_request(endpoint);
    while (true)
    {
        auto const sent = steady_clock::now();
        if (!c.send(text))
            return 0ms;
        if (!c.read_response())
            return std::chrono::duration_cast<std::chrono::milliseconds>(
                steady_clock::now() - sent);
        std::this_thread::sleep_for(
            std::chrono::milliseconds(pause_ms(random)));
    }
}

class test_last_requests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_last_requests);
    CPPUNIT_TEST(nothing_is_read_after_the_drain);
    CPPUNIT_TEST(a_request_that_is_read_in_part_is_answered);
    CPPUNIT_TEST(requests_of_a_stretch_without_processor_time_are_answered);
    CPPUNIT_TEST(callers_of_a_starved_process_are_answered);
    CPPUNIT_TEST_SUITE_END();

public:
    void nothing_is_read_after_the_drain()
    {
        counting_server s;
        raw_connection idle(s.address, timeout_ms);
        raw_connection used(s.address, timeout_ms);
        expect(used.send(request) && used.read_response(), "one is answered");
        section("the server has no request open and says that it is done",
                [&]
                {
                    expect(s.server.drain(drain_ms), "the server drains");
                    section("connections have an orderly end",
                            [&]
                            {
                                expect(idle.read_end(), "the unused one");
                                expect(used.read_end(), "the used one");
                            });
                    section("a request after that is not handled",
                            [&]
                            {
                                expect(used.send(request), "it is sent");
                                std::this_thread::sleep_for(300ms);
                                expect(s.handled == 1, "it is not handled");
                                expect(used.read_end(), "there is no reset");
                            });
                });
    }

    void a_request_that_is_read_in_part_is_answered()
    {
        constexpr auto pause = 600ms;
        std::string const head =
            "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n";
        std::string const body = "body";
        for (std::size_t const part : {std::size_t{1}, head.size() / 2,
                                       head.size() - 1, head.size() + 1})
            section(std::to_string(part) + " bytes are sent when it stops",
                    [&]
                    {
                        counting_server s;
                        raw_connection c(s.address, timeout_ms);
                        auto const text = head + body;
                        expect(c.send(text.substr(0, part)), "it begins");
                        std::this_thread::sleep_for(50ms);
                        auto stopped = s.begin_stop();
                        std::this_thread::sleep_for(pause);
                        expect(c.send(text.substr(part)), "the rest is sent");
                        expect(c.read_response(), "it is answered");
                        expect(c.read_end(), "the connection is closed");
                        expect(stopped.get(), "all are answered");
                    });
    }

    void requests_of_a_stretch_without_processor_time_are_answered()
    {
        constexpr int repetitions = 4;
        for (int i = 0; i < repetitions; ++i)
            send_to_stopped_process();
    }

    void callers_of_a_starved_process_are_answered()
    {
        constexpr int repetitions = 2;
        for (int i = 0; i < repetitions; ++i)
        {
            stop_starved_process(i, 75ms, 25ms);
            stop_starved_process(i, 300ms, 100ms);
        }
    }

private:
    /// The process is stopped while it waits for last requests, longer than it
    /// wants to wait. They are sent meanwhile.
    static void send_to_stopped_process()
    {
        constexpr std::size_t callers = 16;
        constexpr auto last_wait = 2'700ms; ///< it begins 100 ms before
        constexpr auto stretch = 250ms;
        lone_daemon daemon(lone_daemon::interface::platform);
        auto const endpoint = daemon.endpoints().front();
        std::vector<std::unique_ptr<raw_connection>> connections;
        for (std::size_t i = 0; i < callers; ++i)
            connections.push_back(
                std::make_unique<raw_connection>(endpoint.address, timeout_ms));
        daemon.process().signal(SIGTERM);
        std::this_thread::sleep_for(last_wait);
        daemon.process().signal(SIGSTOP);
        for (auto& c : connections)
            expect(c->send(get_request(endpoint)), "a request is sent");
        std::this_thread::sleep_for(stretch);
        daemon.process().signal(SIGCONT);
        for (std::size_t i = 0; i < callers; ++i)
            expect(connections[i]->read_response(),
                   "request " + std::to_string(i) + " is answered");
        expect(daemon.process().wait() == 0, "exit code 0");
    }

    static void stop_starved_process(int seed,
                                     std::chrono::milliseconds stopped,
                                     std::chrono::milliseconds running)
    {
        constexpr int callers = 8;
        constexpr auto grace = 200ms;
        lone_daemon daemon(lone_daemon::interface::platform);
        auto const endpoint = daemon.endpoints().front();
        std::vector<std::future<std::chrono::milliseconds>> ends;
        {
            starved_process const starved(daemon.process(), stopped, running);
            for (int i = 0; i < callers; ++i)
                ends.push_back(std::async(
                    std::launch::async, [=]
                    { return call_until_end(endpoint, seed * callers + i); }));
            std::this_thread::sleep_for(500ms);
            daemon.process().signal(SIGTERM);
            for (auto& end : ends)
                end.wait();
        }
        for (auto& end : ends)
        {
            auto const age = end.get();
            expect(age <= grace, "a request is answered; it was sent " +
                                     std::to_string(age.count()) +
                                     " ms before the end, seed " +
                                     std::to_string(seed) + ", stopped for " +
                                     std::to_string(stopped.count()) + " ms");
        }
        expect(daemon.process().wait() == 0, "exit code 0");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_last_requests);

} // namespace
