/// \file
/// The checkers themselves, on doctored records; the merged time line.

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
    CPPUNIT_TEST(doctored_records_are_caught);
    CPPUNIT_TEST(workers_without_fences_are_caught);
    CPPUNIT_TEST(the_time_line_respects_the_log);
    CPPUNIT_TEST_SUITE_END();

public:
    void doctored_records_are_caught()
    {
        std::vector<standins::worker_event> good = {
            {1, "a", "prepared", "j1.1.0", ""},
            {1, "b", "prepared", "j1.1.1", ""},
            {2, "a", "started", "j1.1.0", ""},
            {2, "b", "started", "j1.1.1", ""},
            {9, "a", "done", "j1.1.0", ""},
            {9, "b", "done", "j1.1.1", ""}};
        expect(find_gang_faults(good, one_job(2)).empty(), "a whole gang");
        section("a member that never was prepared",
                [&]
                {
                    auto bad = good;
                    bad.erase(bad.begin() + 1);
                    expect(!find_gang_faults(bad, one_job(2)).empty(), "");
                });
        section("a start before the last was prepared",
                [&]
                {
                    auto bad = good;
                    bad[1].at_ms = 3;
                    expect(!find_gang_faults(bad, one_job(2)).empty(), "");
                });
        section("a second attempt beside the first",
                [&]
                {
                    auto bad = good;
                    for (auto e : good)
                    {
                        e.task[3] = '2';
                        bad.push_back(e);
                    }
                    expect(!find_gang_faults(bad, one_job(2)).empty(), "");
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
                    expect(!find_gang_faults(bad, one_job(2)).empty(), "");
                });
    }

    /// An owner is lost, another one places a job; then orders of the first
    /// arrive late. \returns tasks that the late orders ended.
    static int harm_of_late_orders(bool fencing)
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
        w.deliver_again(first);
        int ended = 0;
        for (auto const& e : w.worker_events())
            ended += e.detail == "not wanted" ? 1 : 0;
        return ended;
    }

    void workers_without_fences_are_caught()
    {
        expect(harm_of_late_orders(false) > 0, "harm is seen without");
        expect(harm_of_late_orders(true) == 0, "none with fences");
    }

    void the_time_line_respects_the_log()
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
        expect(merged.size() == 3, "one line an event");
        std::size_t submitted = 9;
        std::size_t placed = 0;
        for (std::size_t i = 0; i < merged.size(); ++i)
        {
            if (merged[i].text == "submitted")
                submitted = i;
            if (merged[i].text == "placed")
                placed = i;
        }
        expect(submitted < placed, "cause before effect");
        expect(jasminetrack::cli::to_html(merged).find("<table>") !=
                   std::string::npos,
               "as a page");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_checkers);

} // namespace
