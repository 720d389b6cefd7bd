/// \file
/// Tests the HTTP client with as few library threads as the daemon uses, while
/// many of its connections are closed at once.

#include "closing_server.hpp"
#include "section.hpp"

#include <jasminetrack/runtime/http_client.hpp>
#include <jasminetrack/runtime/http_server.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <future>

namespace
{

using namespace jasminetrack;
using support::expect;
using support::section;

/// Must be set before any other use of the library.
bool const threads_limited = (runtime::limit_http_threads(3), true);

constexpr int calls_at_once = 60;
constexpr std::chrono::seconds time_limit{20};

class test_closed_connections : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_closed_connections);
    CPPUNIT_TEST(connections_closed_at_once_do_not_stop_the_client);
    CPPUNIT_TEST_SUITE_END();

public:
    void connections_closed_at_once_do_not_stop_the_client()
    {
        process_tests::closing_server server(
            [](process_tests::received_request const& r)
                -> std::optional<std::string>
            {
                if (r.position > 0)
                    return std::nullopt;
                return process_tests::make_response(200, "{}");
            });
        auto* const client = new runtime::http_client; // hangs if it fails
        for (int round = 0; round < 5; ++round)
            section("round " + std::to_string(round),
                    [&] { call_at_once(*client, server.address()); });
        delete client;
    }

private:
    static void call_at_once(runtime::http_client& client,
                             std::string const& address)
    {
        std::vector<std::future<runtime::http_client_result>> results;
        for (int i = 0; i < calls_at_once; ++i)
        {
            auto const done =
                std::make_shared<std::promise<runtime::http_client_result>>();
            results.push_back(done->get_future());
            runtime::http_client_request call;
            call.address = address;
            call.method = "POST";
            call.path = "/";
            call.body = "{}";
            call.resend_if_closed = true;
            client.send(std::move(call), [done](runtime::http_client_result r)
                        { done->set_value(std::move(r)); });
        }
        auto const until = std::chrono::steady_clock::now() + time_limit;
        for (auto& r : results)
            expect(r.wait_until(until) == std::future_status::ready,
                   "each call has a result");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_closed_connections);

} // namespace
