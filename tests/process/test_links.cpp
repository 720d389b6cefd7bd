/// \file
/// Stalled connections, slow links between regions, leaving targets.

#include "cluster.hpp"
#include "section.hpp"

#include <jasminetrack/runtime/timer_service.hpp>

#include <iostream>

namespace
{

using namespace process_tests;
using jasminetrack::runtime::monotonic_ms;
using support::expect;
using support::section;

class test_links : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_links);
    CPPUNIT_TEST(stalled_peer_connections_are_replaced);
    CPPUNIT_TEST(stalled_worker_connections_are_replaced);
    CPPUNIT_TEST(a_leaving_target_gets_no_new_work);
    CPPUNIT_TEST(work_continues_on_slow_and_cut_links);
    CPPUNIT_TEST_SUITE_END();

    /// \returns time since a heartbeat of a peer; a large value if none came.
    static std::int64_t heartbeat_age_ms(cluster& c, std::size_t at,
                                         std::string const& peer)
    {
        auto const s = c.status(at);
        return s["peers"].contains(peer)
                   ? s["peers"][peer]["heard_ms_ago"].get<std::int64_t>()
                   : 1'000'000;
    }

public:
    void stalled_peer_connections_are_replaced()
    {
        cluster c({});
        c.entry(1).from_peers->set_traffic(traffic::discard, traffic::discard,
                                           true);
        expect(wait_until([&]
                          { return heartbeat_age_ms(c, 1, "entry-0") > 1500; },
                          10'000),
               "entry-1 gets no heartbeats on the stalled connections");
        expect(wait_until([&]
                          { return heartbeat_age_ms(c, 1, "entry-0") < 1000; },
                          15'000),
               "heartbeats arrive on a new connection");
        section(
            "also if only one direction is stalled",
            [&]
            {
                c.entry(2).from_peers->set_traffic(traffic::pass,
                                                   traffic::discard, true);
                expect(wait_until(
                           [&]
                           { return heartbeat_age_ms(c, 2, "entry-0") < 1000; },
                           15'000),
                       "heartbeats arrive");
            });
    }

    void stalled_worker_connections_are_replaced()
    {
        cluster c({});
        c.apply_default_ticket();
        auto const id = c.submit(0, "spare", "k", "run_ms=8000");
        expect(wait_until([&] { return c.job(0, id)["state"] == "running"; },
                          8000),
               "a job runs");
        for (auto& w : c.workers())
            w.proxy->set_traffic(traffic::discard, traffic::discard, true);
        auto const j = c.job(1, id, 30'000);
        expect(j["end"] == "done", j.dump());
        expect(j["attempt"] == 1, "its lease was renewed on new connections");
    }

    void a_leaving_target_gets_no_new_work()
    {
        cluster c({});
        c.apply_default_ticket();
        section("leaving by the platform's list",
                [&]
                {
                    c.set_listed_state(0, "leaving", 0);
                    expect(wait_until(
                               [&]
                               {
                                   auto const r =
                                       c.status(0)["regions"]["bern"];
                                   return r["workers"].value("leaving", 0) == 1;
                               },
                               3000),
                           "known within 3 s");
                    auto const id = c.submit(0, "spare", "a", "run_ms=100");
                    auto const j = c.job(0, id, 10'000);
                    expect(j["end"] == "done", j.dump());
                    for (auto const& e : c.task_events())
                        expect(e["worker"] != "bern0", "no task on bern0");
                });
        section("leaving by its own answer, before the list shows it",
                [&]
                {
                    c.set_worker_option(1, "leaving=1");
                    for (std::size_t i = 0; i < 30; ++i)
                    {
                        auto const a =
                            c.call(i % 3, "receipts", "l" + std::to_string(i));
                        expect(outcome_of(a) == "done", a.body);
                        expect(a.body.find("bern1") == std::string::npos &&
                                   a.body.find("bern0") == std::string::npos,
                               "no call at a leaving target");
                    }
                });
    }

    void work_continues_on_slow_and_cut_links()
    {
        cluster_settings s;
        s.entries = 4;
        s.regions = {"bern", "oost"};
        s.workers = 2;
        cluster c(s);
        c.apply_default_ticket();
        constexpr int one_way_ms = 12;
        for (auto& e : c.entries())
            e.from_peers->set_delay(one_way_ms);
        section("jobs run over slow links",
                [&]
                {
                    auto const id = c.submit(1, "sure", "a", "run_ms=300");
                    expect(c.job(3, id, 10'000)["end"] == "done", "done");
                });
        section("a region without the entry VMs of the other runs its jobs",
                [&]
                {
                    c.entry(1).from_peers->set_blocked(true);
                    c.entry(3).from_peers->set_blocked(true);
                    auto const start_ms = monotonic_ms();
                    auto const id = c.submit(0, "sure", "b", "run_ms=300");
                    expect(c.job(0, id, 10'000)["end"] == "done", "done");
                    std::cout << " [" << monotonic_ms() - start_ms << " ms]";
                    c.entry(1).from_peers->clear_faults();
                    c.entry(3).from_peers->clear_faults();
                });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_links);

} // namespace
