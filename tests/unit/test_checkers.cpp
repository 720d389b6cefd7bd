/// \file
/// Checks that the gang checker detects violations, and the merge of time
/// lines.

#include "cluster_simulation.hpp"
#include "section.hpp"
#include "timeline_view.hpp"

namespace
{

using namespace jasminetrack::core;
using support::expect;
using support::find_gang_faults;
using support::section;

std::map<job_id, job> one_job(int members)
{
    job j;
    j.id = "j1";
    j.gang.members = members;
    return {{"j1", j}};
}

class test_checkers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_checkers);
    CPPUNIT_TEST(manipulated_records_are_detected);
    CPPUNIT_TEST(unfenced_workers_are_detected);
    CPPUNIT_TEST(the_time_line_follows_the_order_of_the_log);
    CPPUNIT_TEST_SUITE_END();

public:
    void manipulated_records_are_detected()
    {
        std::vector<standins::worker_event> good = {
            {1, "a", "prepared", "j1.1.0", ""},
            {1, "b", "prepared", "j1.1.1", ""},
            {2, "a", "started", "j1.1.0", ""},
            {2, "b", "started", "j1.1.1", ""},
            {9, "a", "done", "j1.1.0", ""},
            {9, "b", "done", "j1.1.1", ""}};
        expect(find_gang_faults(good, one_job(2)).empty(),
               "a correct gang has no faults");
        section("a member that was not prepared",
                [&]
                {
                    auto bad = good;
                    bad.erase(bad.begin() + 1);
                    expect(!find_gang_faults(bad, one_job(2)).empty(),
                           "a fault");
                });
        section("a start before all members were prepared",
                [&]
                {
                    auto bad = good;
                    bad[1].at_ms = 3;
                    expect(!find_gang_faults(bad, one_job(2)).empty(),
                           "a fault");
                });
        section("a second attempt that overlaps the first",
                [&]
                {
                    auto bad = good;
                    for (auto e : good)
                    {
                        e.task[3] = '2';
                        bad.push_back(e);
                    }
                    expect(!find_gang_faults(bad, one_job(2)).empty(),
                           "a fault");
                });
        section("a job done twice",
                [&]
                {
                    auto bad = good;
                    for (auto e : good)
                    {
                        e.task[3] = '2';
                        e.at_ms += 100;
                        bad.push_back(e);
                    }
                    expect(!find_gang_faults(bad, one_job(2)).empty(),
                           "a fault");
                });
    }

    /// Kills an owner, waits until another one runs a job, and delivers the
    /// orders of the first one again.
    /// \returns the number of tasks that the late orders ended.
    static int tasks_ended_by_late_orders(bool fencing)
    {
        support::cluster_simulation w({});
        w.run(6000);
        for (auto const& name : w.worker_names())
            w.worker(name).set_fencing(fencing);
        (void)w.write(
            ticket_record{support::simple_ticket(1, "cork", "bern", 0)});
        auto const first = w.owner();
        w.kill(first);
        w.run(4000);
        auto const id = w.submit("cork-spare", "k", "run_ms=60000");
        expect(w.run_until(
                   [&] {
                       return w.state().jobs.at(id).state == job_state::running;
                   },
                   8000),
               "the new owner starts the job");
        w.run(200);
        w.redeliver_orders(first);
        int ended = 0;
        for (auto const& e : w.worker_events())
            ended += e.detail == "not wanted" ? 1 : 0;
        return ended;
    }

    void unfenced_workers_are_detected()
    {
        expect(tasks_ended_by_late_orders(false) > 0,
               "without fencing late orders end tasks");
        expect(tasks_ended_by_late_orders(true) == 0,
               "with fencing they do not");
    }

    void the_time_line_follows_the_order_of_the_log()
    {
        auto const event =
            [](int ms, int offset, char const* node, char const* text)
        {
            return nlohmann::json{{"ms", ms},         {"step", 0},
                                  {"offset", offset}, {"node", node},
                                  {"kind", "job"},    {"key", "j1"},
                                  {"text", text}};
        };
        nlohmann::json const a{
            {"events",
             {event(100, 1, "a", "submitted"), event(110, 2, "a", "placed")}}};
        nlohmann::json const b{
            {"events",
             {event(90, 2, "b", "placed"), event(105, 1, "b", "submitted"),
              event(95, -1, "b", "own")}}};
        auto const merged = jasminetrack::cli::merge_timelines({a, b});
        expect(merged.size() == 3, "one line per event");
        std::size_t submitted = 9;
        std::size_t placed = 0;
        for (std::size_t i = 0; i < merged.size(); ++i)
        {
            if (merged[i].text == "submitted")
                submitted = i;
            if (merged[i].text == "placed")
                placed = i;
        }
        expect(submitted < placed, "offset 1 comes before offset 2");
        expect(jasminetrack::cli::to_html(merged).find("<table>") !=
                   std::string::npos,
               "the page contains a table");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_checkers);

} // namespace
