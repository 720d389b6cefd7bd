/// \file
/// State that entry VMs rebuild from snapshots after the log has trimmed old
/// records.

#include "cluster.hpp"
#include "section.hpp"

#include <jasminetrack/runtime/timer_service.hpp>

#include <iostream>

namespace
{

using namespace process_tests;
using support::expect;
using support::section;

constexpr int ready_timeout_ms = 20'000;

class test_state : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_state);
    CPPUNIT_TEST(state_survives_trimming_of_the_log);
    CPPUNIT_TEST_SUITE_END();

    static bool restart(cluster& c, std::size_t i)
    {
        c.entry(i).process->kill();
        c.start_entry(i);
        return wait_until([&]
                          { return c.get(i, "/readyz", 500).status == 200; },
                          ready_timeout_ms);
    }

public:
    void state_survives_trimming_of_the_log()
    {
        cluster_settings s;
        s.retention = 400;
        s.entry_settings = "snapshot_records: 60\n";
        cluster c(s);
        c.apply_default_ticket();
        auto const label = c.call(0, "labels", "lot-1");
        expect(outcome_of(label) == "done", label.body);
        auto const first = c.submit(0, "spare", "first", "run_ms=100");
        expect(c.job(0, first, 10'000)["end"] == "done",
               "the first job is done");
        int calls = 0;
        auto const is_trimmed = [&]
        {
            (void)c.call(static_cast<std::size_t>(calls) % 3, "labels",
                         "fill-" + std::to_string(calls));
            ++calls;
            return c.status(0)["next_offset"].get<int>() > 900;
        };
        expect(wait_until(is_trimmed, 60'000),
               "the log has trimmed the first records");
        section("a restarted entry VM has the whole state",
                [&]
                {
                    auto const start_ms = jasminetrack::runtime::monotonic_ms();
                    expect(restart(c, 1), "ready again");
                    std::cout
                        << " [ready after "
                        << jasminetrack::runtime::monotonic_ms() - start_ms
                        << " ms]";
                    auto const again = c.call(1, "labels", "lot-1");
                    expect(again.body == label.body, "the first answer");
                    expect(c.call_count("lot-1") == 1, "it ran once");
                    expect(c.job(1, first)["end"] == "done", "the first job");
                });
        section("all entry VMs have it after a restart at once",
                [&]
                {
                    for (auto& e : c.entries())
                        e.process->kill();
                    for (std::size_t i = 0; i < 3; ++i)
                        c.start_entry(i);
                    c.wait_until_ready();
                    for (std::size_t i = 0; i < 3; ++i)
                    {
                        auto const again = c.call(i, "labels", "lot-1");
                        expect(again.body == label.body, "the first answer");
                    }
                    expect(c.call_count("lot-1") == 1, "it ran once");
                    expect(c.submit(2, "spare", "first", "run_ms=100") == first,
                           "the key finds the first job");
                });
        section("no entry VM reports a diverged state",
                [&]
                {
                    for (std::size_t i = 0; i < 3; ++i)
                        expect(c.get(i, "/metrics")
                                       .body.find("jasminetrack_diverged "
                                                  "0") != std::string::npos,
                               "jasminetrack_diverged is 0");
                });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_state);

} // namespace
