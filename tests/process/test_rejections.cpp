/// \file
/// Requests that are rejected before their body is read, and peers that send
/// slowly, without an end or not at all: none of them may delay another
/// caller, fill the memory or end the process.

#include "cluster.hpp"
#include "lone_daemon.hpp"
#include "raw_connection.hpp"
#include "section.hpp"

#include <jasminetrack/runtime/http_server.hpp>
#include <jasminetrack/runtime/timer_service.hpp>

#include <algorithm>
#include <atomic>
#include <future>
#include <thread>

namespace
{

using namespace process_tests;
using jasminetrack::runtime::http_client;
using jasminetrack::runtime::http_request;
using jasminetrack::runtime::http_response;
using jasminetrack::runtime::http_server;
using jasminetrack::runtime::monotonic_ms;
using jasminetrack::runtime::server_limits;
using support::expect;
using support::section;

/// As few threads as in an entry process.
bool const threads_are_limited =
    (jasminetrack::runtime::limit_http_threads(3), true);

constexpr int timeout_ms = 5'000;
constexpr std::int64_t max_growth_kb = 96 * 1024;

std::string post_head(std::string const& headers)
{
    return "POST /any HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n";
}

/// A request that is rejected before its body is read.
struct rejected_request
{
    std::string name;
    int status;
    std::string data;
};

std::vector<rejected_request> rejected_requests()
{
    constexpr std::size_t long_header = 40'000;
    return {
        {"chunked", 411,
         post_head("Transfer-Encoding: chunked\r\n") + "2\r\n{}\r\n0\r\n\r\n"},
        {"chunked without an end", 411,
         post_head("Transfer-Encoding: chunked\r\n") + "2\r\n{}\r\n"},
        {"chunked without a chunk", 411,
         post_head("Transfer-Encoding: chunked\r\n")},
        {"long body", 413,
         post_head("Content-Length: 6000000\r\n") + std::string(600, 'x')},
        {"long body that is not sent", 413,
         post_head("Content-Length: 6000000\r\n")},
        {"long header", 431,
         post_head("X-Long: " + std::string(long_header, 'x') + "\r\n")},
        {"long header before a body", 431,
         post_head("Content-Length: 9\r\nX-Long: " +
                   std::string(long_header, 'x') + "\r\n")},
    };
}

/// Requests that stay incomplete until the connection is closed.
std::vector<rejected_request> incomplete_requests()
{
    return {{"half a header", 0, "POST /any HTTP/1.1\r\nHos"},
            {"half a body", 0, post_head("Content-Length: 100\r\n") + "{"},
            {"half a chunk", 0,
             post_head("Transfer-Encoding: chunked\r\n") + "64\r\n{"},
            {"half of a long body", 0,
             post_head("Content-Length: 6000000\r\n") + "{"}};
}

/// Sends a request on several connections at the same moment.
/// \returns the status that each got; 0 if its connection was closed.
std::vector<int> send_at_once(std::string const& address,
                              std::string const& data, int clients)
{
    std::vector<std::future<int>> results;
    std::promise<void> go;
    auto const start = go.get_future().share();
    for (int i = 0; i < clients; ++i)
        results.push_back(std::async(std::launch::async,
                                     [&]
                                     {
                                         raw_connection c(address, timeout_ms);
                                         start.wait();
                                         (void)c.send(data);
                                         return c.read_status();
                                     }));
    go.set_value();
    std::vector<int> statuses;
    for (auto& r : results)
        statuses.push_back(r.get());
    return statuses;
}

/// Sends a head, then the same piece again and again until the connection is
/// closed or the time limit is over.
void send_endlessly(std::string const& address, std::string const& head,
                    std::string const& piece, int duration_ms)
{
    raw_connection c(address, timeout_ms);
    auto const until = monotonic_ms() + duration_ms;
    if (!c.send(head))
        return;
    while (monotonic_ms() < until && c.send(piece))
    {
    }
}

http_client_result get(std::string const& address, int limit_ms)
{
    http_client client;
    http_client_request call;
    call.address = address;
    call.timeout_ms = limit_ms;
    call.fresh_connection = true;
    return client.send(call);
}

class test_rejections : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_rejections);
    CPPUNIT_TEST(simultaneous_rejections_do_not_hang_the_process);
    CPPUNIT_TEST(a_full_server_rejects_all_others_at_once);
    CPPUNIT_TEST(incomplete_requests_do_not_shut_out_other_callers);
    CPPUNIT_TEST(clients_that_read_nothing_do_not_shut_out_other_callers);
    CPPUNIT_TEST(endless_requests_do_not_fill_the_memory);
    CPPUNIT_TEST(the_web_socket_mesh_survives_endless_handshakes);
    CPPUNIT_TEST(incomplete_bodies_do_not_fill_the_memory);
    CPPUNIT_TEST(chunk_sizes_out_of_range_do_not_end_the_process);
    CPPUNIT_TEST(a_rejected_client_that_still_sends_reads_the_answer);
    CPPUNIT_TEST_SUITE_END();

    template <typename Check> static void for_each_daemon(Check const& check)
    {
        section("own interface",
                [&]
                {
                    lone_daemon d(lone_daemon::interface::own);
                    check(d);
                });
        section("interface of the platform",
                [&]
                {
                    lone_daemon d(lone_daemon::interface::platform);
                    check(d);
                });
    }

    template <typename Check> static void for_each_endpoint(Check const& check)
    {
        for_each_daemon(
            [&](lone_daemon& d)
            {
                for (auto const& e : d.endpoints())
                    section(e.name, [&] { check(d, e); });
            });
    }

    /// Sends requests without an end, several of each kind at once.
    static void expect_bounded_memory(lone_daemon& d, http_endpoint const& e)
    {
        constexpr int clients = 4;
        constexpr int duration_ms = 1'500;
        std::string const filler(256 * 1024, 'x');
        std::vector<std::pair<std::string, std::string>> const kinds{
            {post_head("Content-Length: 100000000000\r\n"), filler},
            {post_head("Transfer-Encoding: chunked\r\n") + "7fffffff\r\n",
             filler},
            {post_head("Transfer-Encoding: chunked\r\n"),
             "40000\r\n" + filler + "\r\n"},
            {"POST /any HTTP/1.1\r\nX-Endless: ", filler},
            {"POST /", filler}};
        auto const before = d.process().peak_memory_kb();
        std::vector<std::thread> threads;
        for (auto const& [head, piece] : kinds)
            for (int i = 0; i < clients; ++i)
                threads.emplace_back(
                    [&e, &head = head, &piece = piece]
                    { send_endlessly(e.address, head, piece, duration_ms); });
        bool const served = d.answers();
        for (auto& t : threads)
            t.join();
        auto const growth = d.process().peak_memory_kb() - before;
        expect(growth < max_growth_kb,
               "memory grew by " + std::to_string(growth) + " KB");
        expect(served && d.answers(), "others are served");
    }

public:
    void simultaneous_rejections_do_not_hang_the_process()
    {
        constexpr int clients = 24;
        for_each_endpoint(
            [](lone_daemon& d, http_endpoint const& e)
            {
                for (auto const& r : rejected_requests())
                    section(r.name,
                            [&]
                            {
                                for (int const s :
                                     send_at_once(e.address, r.data, clients))
                                    expect(s == r.status,
                                           "status " + std::to_string(s));
                                expect(d.answers(), "others are served");
                            });
            });
    }

    void a_full_server_rejects_all_others_at_once()
    {
        constexpr int running = 4;
        constexpr int rejected = 100;
        std::promise<void> go_on;
        auto const released = go_on.get_future().share();
        std::atomic<int> entered{0};
        server_limits limits;
        limits.threads = running;
        limits.requests = running;
        auto const address = "127.0.0.1:" + std::to_string(free_port());
        http_server server(address, limits,
                           [&](http_request const&)
                           {
                               ++entered;
                               released.wait();
                               return http_response{};
                           });
        std::string reason;
        expect(server.start(reason), reason);
        std::vector<std::future<int>> first;
        for (int i = 0; i < running; ++i)
            first.push_back(
                std::async(std::launch::async, [&]
                           { return get(address, 4 * timeout_ms).status; }));
        expect(wait_until([&] { return entered == running; }, timeout_ms),
               "the handler runs");
        auto const statuses = send_at_once(
            address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", rejected);
        go_on.set_value();
        for (auto& f : first)
            expect(f.get() == 200, "requests within the limit are answered");
        expect(std::count(statuses.begin(), statuses.end(), 503) == rejected,
               "all others get 503");
    }

    void incomplete_requests_do_not_shut_out_other_callers()
    {
        // More than max_open_requests of an entry process.
        constexpr int clients = 600;
        for_each_endpoint(
            [](lone_daemon& d, http_endpoint const& e)
            {
                for (auto const& r : incomplete_requests())
                    section(r.name,
                            [&]
                            {
                                std::vector<std::unique_ptr<raw_connection>> c;
                                for (int i = 0; i < clients; ++i)
                                {
                                    c.push_back(
                                        std::make_unique<raw_connection>(
                                            e.address, timeout_ms));
                                    (void)c.back()->send(r.data);
                                }
                                expect(d.answers(), "others are served");
                                auto const a = get(e.address, timeout_ms);
                                expect(a.body.find("limits.requests") ==
                                           std::string::npos,
                                       "others are not rejected");
                            });
            });
    }

    /// The handler's threads do not wait until a response is written.
    void clients_that_read_nothing_do_not_shut_out_other_callers()
    {
        constexpr std::size_t response_bytes = 20'000'000;
        constexpr int clients = 8;
        server_limits limits;
        limits.threads = 2;
        auto const address = "127.0.0.1:" + std::to_string(free_port());
        http_server server(address, limits,
                           [&](http_request const& r)
                           {
                               http_response response;
                               if (r.path == "/long")
                                   response.body.assign(response_bytes, 'x');
                               return response;
                           });
        std::string reason;
        expect(server.start(reason), reason);
        std::vector<std::unique_ptr<raw_connection>> silent;
        for (int i = 0; i < clients; ++i)
        {
            silent.push_back(
                std::make_unique<raw_connection>(address, timeout_ms));
            expect(silent.back()->send("GET /long HTTP/1.1\r\nHost: h\r\n\r\n"),
                   "sent");
        }
        for (auto const& c : silent)
            expect(c->read_status() == 200, "the response begins");
        expect(get(address, timeout_ms).status == 200, "others are served");
    }

    void endless_requests_do_not_fill_the_memory()
    {
        for_each_endpoint([](lone_daemon& d, http_endpoint const& e)
                          { expect_bounded_memory(d, e); });
    }

    void the_web_socket_mesh_survives_endless_handshakes()
    {
        lone_daemon d(lone_daemon::interface::own);
        expect_bounded_memory(d, d.mesh());
        auto const statuses = send_at_once(
            d.mesh().address, "GET /mesh HTTP/1.1\r\nHost: h\r\n\r\n", 24);
        expect(std::count(statuses.begin(), statuses.end(), -1) == 0,
               "each gets an answer or its connection is closed");
    }

    /// Bodies within the limit that never become complete.
    void incomplete_bodies_do_not_fill_the_memory()
    {
        constexpr int clients = 600;
        constexpr std::size_t body_bytes = 500'000;
        auto const data =
            post_head("Content-Length: " + std::to_string(body_bytes) +
                      "\r\n") +
            std::string(body_bytes - 1, 'x');
        for_each_endpoint(
            [&](lone_daemon& d, http_endpoint const& e)
            {
                auto const before = d.process().peak_memory_kb();
                std::vector<std::unique_ptr<raw_connection>> open;
                for (int i = 0; i < clients; ++i)
                {
                    open.push_back(std::make_unique<raw_connection>(
                        e.address, timeout_ms));
                    (void)open.back()->send(data);
                }
                auto const growth = d.process().peak_memory_kb() - before;
                expect(growth < max_growth_kb,
                       "memory grew by " + std::to_string(growth) + " KB");
                expect(d.answers(), "others are served");
            });
    }

    void chunk_sizes_out_of_range_do_not_end_the_process()
    {
        for_each_endpoint(
            [](lone_daemon& d, http_endpoint const& e)
            {
                for (std::string const size :
                     {"ffffffffffffffff", "fffffffffffffffe",
                      "7fffffffffffffff", "fffffffffffffffffff", "-1", "x"})
                    section("chunk size " + size,
                            [&]
                            {
                                (void)send_at_once(
                                    e.address,
                                    post_head("Transfer-Encoding: "
                                              "chunked\r\n") +
                                        size + "\r\nxx\r\n",
                                    8);
                                expect(d.answers(), "others are served");
                            });
            });
    }

    void a_rejected_client_that_still_sends_reads_the_answer()
    {
        std::string const body(600'000, 'x');
        lone_daemon d(lone_daemon::interface::platform);
        auto const& callers = d.endpoints().front();
        for (int i = 0; i < 20; ++i)
        {
            raw_connection c(callers.address, timeout_ms);
            expect(c.send(post_head("Content-Length: 600000\r\n")),
                   "the head is sent");
            expect(c.send(body), "the body is taken");
            expect(c.read_status() == 413, "the answer arrives");
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_rejections);

} // namespace
