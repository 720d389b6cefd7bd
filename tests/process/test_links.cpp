/// \file
/// Links: silent connections, slow regions, leaving targets.

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
    CPPUNIT_TEST(silent_connections_between_peers_are_replaced);
    CPPUNIT_TEST(a_silent_worker_connection_is_replaced);
    CPPUNIT_TEST(a_leaving_target_gets_nothing_new);
    CPPUNIT_TEST(regions_are_slow_and_part);
    CPPUNIT_TEST_SUITE_END();

    static std::int64_t heard(cluster& c, std::size_t at,
                              std::string const& peer)
    {
        auto const s = c.status(at);
        return s["peers"].contains(peer)
                   ? s["peers"][peer]["heard_ms_ago"].get<std::int64_t>()
                   : 1'000'000;
    }

public:
    void silent_connections_between_peers_are_replaced()
    {
        cluster c({});
        c.entry(1).from_peers->silence(flow::swallow, flow::swallow, true);
        expect(await([&] { return heard(c, 1, "entry-0") > 1500; }, 10'000),
               "entry-1 hears nothing on the old connections");
        expect(await([&] { return heard(c, 1, "entry-0") < 1000; }, 15'000),
               "a new connection brings heartbeats again");
        section("also when only one direction is silent",
                [&]
                {
                    c.entry(2).from_peers->silence(flow::pass, flow::swallow,
                                                   true);
                    expect(await([&] { return heard(c, 2, "entry-0") < 1000; },
                                 15'000),
                           "heartbeats arrive");
                });
    }

    void a_silent_worker_connection_is_replaced()
    {
        cluster c({});
        c.apply_usual_ticket();
        auto const id = c.submit(0, "spare", "k", "run_ms=8000");
        expect(await([&] { return c.job(0, id)["state"] == "running"; }, 8000),
               "a job runs");
        for (auto& w : c.workers())
            w.link->silence(flow::swallow, flow::swallow, true);
        auto const j = c.job(1, id, 30'000);
        expect(j["end"] == "done", j.dump());
        expect(j["attempt"] == 1, "its lease was renewed on new connections");
    }

    void a_leaving_target_gets_nothing_new()
    {
        cluster c({});
        c.apply_usual_ticket();
        section("told by the list",
                [&]
                {
                    c.list_state(0, "leaving", 0);
                    expect(await(
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
                        expect(e["worker"] != "bern0", "nothing on bern0");
                });
        section("told by its own answer while the list lags",
                [&]
                {
                    c.set_worker(1, "leaving=1");
                    for (std::size_t i = 0; i < 30; ++i)
                    {
                        auto const a =
                            c.call(i % 3, "receipts", "l" + std::to_string(i));
                        expect(outcome_of(a) == "done", a.body);
                        expect(a.body.find("bern1") == std::string::npos &&
                                   a.body.find("bern0") == std::string::npos,
                               "not at a leaving target");
                    }
                });
    }

    void regions_are_slow_and_part()
    {
        cluster_settings s;
        s.entries = 4;
        s.regions = {"bern", "oost"};
        s.workers = 2;
        cluster c(s);
        c.apply_usual_ticket();
        constexpr int one_way_ms = 12;
        for (auto& e : c.entries())
            e.from_peers->delay(one_way_ms);
        section("work goes on over slow links",
                [&]
                {
                    auto const id = c.submit(1, "sure", "a", "run_ms=300");
                    expect(c.job(3, id, 10'000)["end"] == "done", "done");
                });
        section("a region without its peers keeps its own control",
                [&]
                {
                    c.entry(1).from_peers->cut(true);
                    c.entry(3).from_peers->cut(true);
                    auto const begun = monotonic_ms();
                    auto const id = c.submit(0, "sure", "b", "run_ms=300");
                    expect(c.job(0, id, 10'000)["end"] == "done", "done");
                    std::cout << " [" << monotonic_ms() - begun << " ms]";
                    c.entry(1).from_peers->heal();
                    c.entry(3).from_peers->heal();
                });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_links);

} // namespace
