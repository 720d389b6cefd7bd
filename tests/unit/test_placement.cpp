/// \file
/// Where units go: tight places, one rack, and the least work stopped.

#include "section.hpp"

#include <jasminetrack/tasks/placement.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace
{

using namespace jasminetrack::tasks;
using support::expect;
using support::section;

worker_candidate candidate(std::string id, std::string rack, std::int64_t free)
{
    worker_candidate r;
    r.id = std::move(id);
    r.rack = std::move(rack);
    r.capacity = {64'000, 128'000, 8};
    r.free = {64'000, 128'000, free};
    r.free_after_stops = r.free;
    return r;
}

unit_need accelerators(std::int64_t each, std::int64_t count)
{
    unit_need n;
    n.per_task = {1'000, 1'000, each};
    n.count = count;
    n.estimate_ms = 2'000;
    return n;
}

void add_run(worker_candidate& r, std::size_t run, std::int64_t held,
             double lost)
{
    r.stoppable.push_back({run, {1'000, 1'000, held}, lost});
}

class test_placement : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_placement);
    CPPUNIT_TEST(small_tasks_leave_whole_workers_free);
    CPPUNIT_TEST(doubted_workers_come_last);
    CPPUNIT_TEST(labels_bounds_and_avoided_workers_hold);
    CPPUNIT_TEST(a_gang_stays_in_one_rack);
    CPPUNIT_TEST(the_cheapest_runs_stop);
    CPPUNIT_TEST(a_little_lost_work_beats_spreading);
    CPPUNIT_TEST_SUITE_END();

public:
    void small_tasks_leave_whole_workers_free()
    {
        std::vector<worker_candidate> const candidates{candidate("a", "r", 8),
                                                       candidate("b", "r", 2)};
        auto const p =
            find_places(candidates, accelerators(1, 2), rack_spread::multiple);
        expect(p && *p == std::vector<std::string>{"b", "b"}, "the tight one");
    }

    void doubted_workers_come_last()
    {
        std::vector<worker_candidate> candidates{candidate("a", "r", 8),
                                                 candidate("b", "r", 2)};
        candidates[1].penalty = 1;
        auto const p =
            find_places(candidates, accelerators(1, 1), rack_spread::multiple);
        expect(p && p->front() == "a", "not the doubted one");
        section("but before none",
                [&]
                {
                    auto const all = find_places(candidates, accelerators(2, 5),
                                                 rack_spread::multiple);
                    expect(all && all->back() == "b", "it fills up");
                });
    }

    void labels_bounds_and_avoided_workers_hold()
    {
        std::vector<worker_candidate> candidates{candidate("a", "r", 8),
                                                 candidate("b", "r", 8),
                                                 candidate("c", "r", 8)};
        candidates[1].labels = {"fast"};
        auto need = accelerators(1, 1);
        need.label = "fast";
        expect(find_places(candidates, need, rack_spread::multiple)->front() ==
                   "b",
               "the labelled one");
        need = accelerators(1, 3);
        need.most_per_worker = 1;
        auto const spread =
            find_places(candidates, need, rack_spread::multiple);
        expect(
            spread &&
                std::set<std::string>(spread->begin(), spread->end()).size() ==
                    3,
            "one on each");
        need.avoid = {"a"};
        expect(!find_places(candidates, need, rack_spread::multiple),
               "not on a");
    }

    void a_gang_stays_in_one_rack()
    {
        std::vector<worker_candidate> const candidates{candidate("a", "r1", 8),
                                                       candidate("b", "r2", 8),
                                                       candidate("c", "r2", 8)};
        auto need = accelerators(8, 2);
        need.same_rack = true;
        auto const choice = choose_plan(candidates, need, {});
        expect(choice && choice->places == std::vector<std::string>{"b", "c"},
               "rack r2");
        section("and waits for one rather than run far apart",
                [&]
                {
                    auto busy = candidates;
                    busy[1].free.accelerators = 0;
                    reclaim_terms patient;
                    patient.max_rack_wait_ms = 4'000;
                    need.waited_ms = 3'999;
                    expect(!choose_plan(busy, need, patient), "not yet");
                    need.waited_ms = 4'000;
                    expect(choose_plan(busy, need, patient).has_value(),
                           "but not for ever");
                    section("nor does it stop work to run far apart",
                            [&]
                            {
                                patient.may_stop = true;
                                patient.own_work = 1'000;
                                patient.far_factor = 3;
                                busy[0].free = busy[0].free_after_stops = {};
                                busy[1].free_after_stops = {};
                                add_run(busy[0], 1, 8, 1);
                                add_run(busy[2], 2, 8, 1);
                                need.waited_ms = 3'999;
                                expect(!choose_plan(busy, need, patient),
                                       "yet");
                            });
                });
    }

    void the_cheapest_runs_stop()
    {
        std::vector<worker_candidate> candidates{candidate("a", "r", 0),
                                                 candidate("b", "r", 0)};
        add_run(candidates[0], 1, 4, 50);
        add_run(candidates[0], 2, 4, 5);
        add_run(candidates[1], 3, 4, 20);
        auto const plan =
            plan_reclaim(candidates, accelerators(4, 1), rack_spread::multiple);
        expect(plan && plan->victims == std::set<std::size_t>{2}, "run 2");
        section("and no more than needed",
                [&]
                {
                    add_run(candidates[1], 4, 8, 1);
                    auto const one = plan_reclaim(
                        candidates, accelerators(8, 1), rack_spread::multiple);
                    expect(one && one->victims == std::set<std::size_t>{4},
                           "run 4 alone");
                });
    }

    void a_little_lost_work_beats_spreading()
    {
        std::vector<worker_candidate> candidates{candidate("a", "r1", 8),
                                                 candidate("b", "r2", 8),
                                                 candidate("c", "r2", 0)};
        add_run(candidates[2], 7, 8, 10);
        candidates[2].capacity.accelerators = 8;
        auto need = accelerators(8, 2);
        need.same_rack = true;
        reclaim_terms terms{true, true, 200, 3};
        auto const cheap = choose_plan(candidates, need, terms);
        expect(cheap && cheap->victims == std::set<std::size_t>{7},
               "one run stops");
        section("a lot of lost work does not",
                [&]
                {
                    candidates[2].stoppable[0].lost_work = 5'000;
                    auto const far = choose_plan(candidates, need, terms);
                    expect(far && far->victims.empty() && far->fits_now,
                           "it is spread");
                });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_placement);

} // namespace
