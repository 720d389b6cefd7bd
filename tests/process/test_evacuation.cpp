/// \file
/// Evacuation of a data center with real processes: the commands with their
/// exit codes, and work before, during and after it.

#include "cluster.hpp"
#include "section.hpp"

namespace
{

using namespace process_tests;
using support::expect;
using support::section;

class test_evacuation : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_evacuation);
    CPPUNIT_TEST(an_evacuated_data_center_gets_nothing_new);
    CPPUNIT_TEST_SUITE_END();

    static void expect_command(cluster& c, std::vector<std::string> arguments,
                               int code, std::string const& text)
    {
        auto const [got, output] = c.run_command(arguments);
        expect(got == code && output.find(text) != std::string::npos,
               "exit code " + std::to_string(got) + ": " + output);
    }

    /// \returns the data center where the job's members started.
    static std::string place_of(cluster& c, std::string const& id)
    {
        for (auto const& e : c.task_events())
            if (e["task"].get<std::string>().starts_with(id + "."))
                return e["worker"] < "bern2" ? "bern-dc0" : "bern-dc1";
        return "";
    }

    /// Calls a service through an entry VM and counts the calls that the
    /// workers of a data center got.
    static int calls_in(cluster& c, std::size_t entry, std::string const& key,
                        std::size_t first_worker)
    {
        auto const before = c.call_counts();
        for (int i = 0; i < 8; ++i)
            expect(outcome_of(c.call(entry, "receipts",
                                     key + std::to_string(i))) == "done",
                   "answered");
        auto const after = c.call_counts();
        return after[first_worker] + after[first_worker + 1] -
               before[first_worker] - before[first_worker + 1];
    }

public:
    void an_evacuated_data_center_gets_nothing_new()
    {
        cluster_settings s;
        s.workers_per_data_center = 2;
        cluster c(s);
        c.apply_default_ticket();
        auto const running = c.submit(0, "spare", "running", "run_ms=6000");
        expect(wait_until([&]
                          { return c.job(0, running)["state"] == "running"; },
                          10'000),
               "it runs");
        auto const from = place_of(c, running);
        std::string const other = from == "bern-dc0" ? "bern-dc1" : "bern-dc0";
        section("errors",
                [&]
                {
                    expect_command(c, {"evacuate", "bern-dc7"}, 1,
                                   "there is no data center 'bern-dc7'");
                    expect(c.status(0)["evacuations"]["evacuated"].empty(),
                           "nothing is changed");
                });
        expect_command(c, {"evacuate", from}, 0, from + " is evacuated");
        expect_command(c, {"evacuate", from}, 0, "already evacuated");
        expect_command(c, {"evacuate", other}, 1, "is the last one");
        expect_command(c, {"status"}, 0,
                       from + " is EVACUATED: 8 gang members");
        section("new jobs and calls at another entry VM go elsewhere",
                [&]
                {
                    for (auto const* kind : {"spare", "sure"})
                    {
                        auto const id = c.submit(1, kind, kind, "run_ms=100");
                        expect(c.job(1, id, 10'000)["end"] == "done", "done");
                        expect(place_of(c, id) == other, kind);
                    }
                    expect(wait_until(
                               [&] {
                                   return !c.status(
                                                1)["evacuations"]["evacuated"]
                                               .empty();
                               },
                               5000),
                           "known there");
                    expect(calls_in(c, 1, "evacuated",
                                    from == "bern-dc0" ? 0 : 2) == 0,
                           "no calls there");
                });
        section("what ran there ran on",
                [&]
                {
                    auto const j = c.job(0, running, 10'000);
                    expect(j["end"] == "done" && j["attempt"] == 1, j.dump());
                });
        section("it outlasts a restart of all entry VMs",
                [&]
                {
                    for (auto& e : c.entries())
                        e.process->kill();
                    for (std::size_t i = 0; i < c.entries().size(); ++i)
                        c.start_entry(i);
                    c.wait_until_ready();
                    expect_command(c, {"status"}, 0, "is EVACUATED: 0 gang");
                });
        expect_command(c, {"restore", from}, 0, "restored to service");
        expect_command(c, {"evacuate", other}, 0, "is evacuated");
        auto const back = c.submit(2, "spare", "back", "run_ms=100");
        expect(c.job(2, back, 10'000)["end"] == "done", "done");
        expect(place_of(c, back) == from, "placed there again");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_evacuation);

} // namespace
