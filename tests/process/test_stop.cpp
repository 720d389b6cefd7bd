/// \file
/// Planned stops: an entry VM drains, hands its regions over and closes its
/// connections without losing answers.

#include "cluster.hpp"
#include "section.hpp"

#include <jasminetrack/runtime/http_server.hpp>
#include <jasminetrack/runtime/timer_service.hpp>

#include <atomic>
#include <csignal>
#include <future>
#include <mutex>
#include <thread>

namespace
{

using namespace process_tests;
using jasminetrack::runtime::http_request;
using jasminetrack::runtime::http_response;
using jasminetrack::runtime::http_server;
using support::expect;
using support::section;

class test_stop : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_stop);
    CPPUNIT_TEST(a_planned_stop_cuts_no_callers);
    CPPUNIT_TEST(a_server_sends_pending_replies_before_closing);
    CPPUNIT_TEST(an_owner_hands_over_before_it_stops);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_planned_stop_cuts_no_callers()
    {
        cluster c({});
        c.apply_default_ticket();
        for (std::size_t i = 0; i < 4; ++i)
            c.set_worker_option(i, "call_ms=300");
        std::atomic<bool> stopping{false};
        std::atomic<int> unanswered{0};
        std::mutex mutex;
        std::string reasons; ///< of the calls without an answer
        std::atomic<int> done{0};
        std::vector<std::thread> callers;
        for (int t = 0; t < 8; ++t)
            callers.emplace_back(
                [&, t]
                {
                    for (int i = 0; !stopping; ++i)
                    {
                        auto const a =
                            c.call(0, t % 2 == 0 ? "receipts" : "labels",
                                   std::to_string(t) + "-" + std::to_string(i));
                        if (a.result == delivery::unknown)
                        {
                            ++unanswered;
                            std::lock_guard<std::mutex> const lock(mutex);
                            reasons += "; " + a.reason;
                        }
                        if (outcome_of(a) == "done")
                            ++done;
                        if (a.result == delivery::not_sent)
                            return;
                    }
                });
        expect(wait_until([&] { return done > 20; }, 10'000),
               "more than 20 calls are done");
        c.entry(0).process->signal(SIGTERM);
        c.entry(0).process->signal(SIGTERM);
        int const code = c.entry(0).process->wait();
        stopping = true;
        for (auto& t : callers)
            t.join();
        expect(unanswered == 0,
               std::to_string(unanswered) + " callers got no answer" + reasons);
        expect(code == 0, "exit code " + std::to_string(code));
    }

    void a_server_sends_pending_replies_before_closing()
    {
        for (std::size_t size : {10UL, 100'000UL, 1'000'000UL})
        {
            std::promise<void> entered;
            std::promise<void> go_on;
            auto released = go_on.get_future().share();
            auto const address = "127.0.0.1:" + std::to_string(free_port());
            http_server server(address, {},
                               [&](http_request const&)
                               {
                                   entered.set_value();
                                   released.wait();
                                   http_response r;
                                   r.body = std::string(size, 'x');
                                   return r;
                               });
            std::string reason;
            expect(server.start(reason), reason);
            auto answer =
                std::async(std::launch::async,
                           [&]
                           {
                               jasminetrack::runtime::http_client client;
                               http_client_request call;
                               call.address = address;
                               call.fresh_connection = true;
                               return client.send(call);
                           });
            entered.get_future().wait();
            auto stopped = std::async(std::launch::async,
                                      [&] { return server.stop(10'000); });
            go_on.set_value();
            expect(stopped.get(), "the server drains");
            auto const a = answer.get();
            expect(a.result == delivery::answered && a.body.size() == size,
                   std::to_string(size) + " bytes arrive: " + a.reason);
        }
    }

    void an_owner_hands_over_before_it_stops()
    {
        cluster c({});
        c.apply_default_ticket();
        auto const owner = c.owner();
        std::size_t const other = owner == 0 ? 1 : 0;
        auto const id = c.submit(other, "spare", "k", "run_ms=4000");
        expect(wait_until([&]
                          { return c.job(other, id)["state"] == "running"; },
                          8000),
               "a job runs");
        c.entry(owner).process->signal(SIGTERM);
        expect(c.entry(owner).process->wait() == 0, "exit code 0");
        auto const j = c.job(other, id, 20'000);
        expect(j["end"] == "done" && j["attempt"] == 1, j.dump());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_stop);

} // namespace
