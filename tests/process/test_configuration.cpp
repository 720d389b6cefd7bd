/// \file
/// Tickets: concurrent operators, entry VMs without the log or without peers,
/// restarts and outages of the log.

#include "cluster.hpp"
#include "section.hpp"

#include <future>

namespace
{

using namespace process_tests;
using support::expect;
using support::section;

/// A ticket must be in force at all entry VMs within this time.
constexpr int in_force_ms = 6000;

class test_configuration : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_configuration);
    CPPUNIT_TEST(concurrent_tickets_one_is_accepted);
    CPPUNIT_TEST(a_ticket_reaches_entries_without_the_log);
    CPPUNIT_TEST(an_isolated_entry_is_not_ready_and_refuses_calls);
    CPPUNIT_TEST(tickets_survive_restarts_and_outages);
    CPPUNIT_TEST_SUITE_END();

    static int ticket_number_of(cluster& c, std::size_t entry)
    {
        auto const answer = c.get(entry, "/v1/tickets");
        if (answer.status != 200)
            return -1;
        auto const in_force = json::parse(answer.body)["in_force"];
        return in_force.contains("team/cork")
                   ? in_force["team/cork"]["number"].get<int>()
                   : 0;
    }

    static int weight_of(cluster& c, std::size_t entry)
    {
        auto const shown = json::parse(c.get(entry, "/v1/tickets").body);
        return shown["configuration"]["teams"]["cork"]["weight"];
    }

public:
    void concurrent_tickets_one_is_accepted()
    {
        cluster c({});
        c.apply_default_ticket();
        for (int round = 2; round < 12; ++round)
        {
            auto const apply = [&](std::size_t entry, int weight) {
                return c.post(entry, "/v1/tickets",
                              default_ticket(round, weight));
            };
            auto first = std::async(std::launch::async, apply, 0, 100);
            auto second = std::async(std::launch::async, apply, 1, 200);
            auto const a = first.get();
            auto const b = second.get();
            expect((a.status == 200) != (b.status == 200),
                   "exactly one is accepted: " + a.body + " " + b.body);
            auto const& lost = a.status == 200 ? b : a;
            expect(lost.status == 409 &&
                       lost.body.find("team/cork is at ticket") !=
                           std::string::npos,
                   "the other gets the conflict: " + lost.body);
            int const weight = a.status == 200 ? 100 : 200;
            for (std::size_t i = 0; i < 3; ++i)
                expect(wait_until([&]
                                  { return ticket_number_of(c, i) == round; },
                                  in_force_ms) &&
                           weight_of(c, i) == weight,
                       "the accepted ticket is in force at all entry VMs");
        }
    }

    void a_ticket_reaches_entries_without_the_log()
    {
        cluster c({});
        c.apply_default_ticket();
        c.entry(2).to_log->set_blocked(true);
        expect(c.post(0, "/v1/tickets", default_ticket(2)).status == 200,
               "accepted at another entry VM");
        expect(wait_until([&] { return ticket_number_of(c, 2) == 2; },
                          in_force_ms),
               "its peers send it the ticket within 6 s");
        section("it still serves idempotent calls",
                [&]
                {
                    auto const a = c.call(2, "receipts", "r");
                    expect(outcome_of(a) == "done", a.body);
                });
        section("a stalled connection to the log has the same effect",
                [&]
                {
                    c.entry(2).to_log->clear_faults();
                    c.entry(1).to_log->set_traffic(traffic::discard,
                                                   traffic::discard, false);
                    expect(c.post(0, "/v1/tickets", default_ticket(3)).status ==
                               200,
                           "accepted");
                    expect(wait_until([&]
                                      { return ticket_number_of(c, 1) == 3; },
                                      in_force_ms),
                           "in force within 6 s");
                });
    }

    void an_isolated_entry_is_not_ready_and_refuses_calls()
    {
        cluster c({});
        c.apply_default_ticket();
        c.entry(2).to_log->set_blocked(true);
        c.entry(2).from_peers->set_blocked(true);
        auto const not_ready = [&]
        { return c.get(2, "/readyz").status == 503; };
        expect(wait_until(not_ready, in_force_ms), "it is not ready");
        auto const a = c.call(2, "receipts", "r");
        expect(outcome_of(a) == "not_run", a.body);
        expect(a.body.find("cannot tell") != std::string::npos, a.body);
        c.entry(2).to_log->clear_faults();
        c.entry(2).from_peers->clear_faults();
        expect(wait_until([&] { return c.get(2, "/readyz").status == 200; },
                          in_force_ms),
               "it is ready again");
    }

    void tickets_survive_restarts_and_outages()
    {
        cluster c({});
        c.apply_default_ticket();
        expect(c.post(0, "/v1/tickets", default_ticket(4, 44)).status == 200,
               "ticket 4");
        section("an older ticket is refused",
                [&]
                {
                    auto const a =
                        c.post(1, "/v1/tickets", default_ticket(3, 33));
                    expect(a.status == 409, a.body);
                });
        section("a restarted entry VM has the newest ticket",
                [&]
                {
                    c.entry(1).process->kill();
                    c.start_entry(1);
                    expect(
                        wait_until(
                            [&]
                            { return c.get(1, "/readyz", 500).status == 200; },
                            10'000),
                        "ready again");
                    expect(ticket_number_of(c, 1) == 4, "ticket 4 is in force");
                });
        section("so do all entry VMs after a restart at once",
                [&]
                {
                    for (auto& e : c.entries())
                        e.process->kill();
                    for (std::size_t i = 0; i < 3; ++i)
                        c.start_entry(i);
                    c.wait_until_ready();
                    for (std::size_t i = 0; i < 3; ++i)
                        expect(weight_of(c, i) == 44, "the weight of ticket 4");
                });
        section(
            "a ticket sent again after a log outage takes effect",
            [&]
            {
                c.set_platform_option("down=1");
                auto const a = c.post(0, "/v1/tickets", default_ticket(5, 55));
                expect(a.status == 504 || a.status == 503, a.body);
                c.set_platform_option("down=0");
                expect(c.post(1, "/v1/tickets", default_ticket(5, 55)).status ==
                           200,
                       "the same ticket is accepted at another entry VM");
                for (std::size_t i = 0; i < 3; ++i)
                    expect(wait_until([&] { return weight_of(c, i) == 55; },
                                      in_force_ms),
                           "in force everywhere");
            });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_configuration);

} // namespace
