/// \file
/// Tests the choice of workers: best fit, one rack, and the least work stopped.

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
             double lost, std::string const& team = "")
{
    r.stoppable.push_back({run, {1'000, 1'000, held}, lost, team, held});
}

class test_placement : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_placement);
    CPPUNIT_TEST(small_tasks_fill_partly_used_workers_first);
    CPPUNIT_TEST(workers_with_a_penalty_come_last);
    CPPUNIT_TEST(labels_limits_and_avoided_workers_are_respected);
    CPPUNIT_TEST(gang_is_placed_on_one_rack);
    CPPUNIT_TEST(cheapest_runs_are_stopped);
    CPPUNIT_TEST(runs_that_a_stopped_gang_makes_room_for_go_on);
    CPPUNIT_TEST(stopping_little_work_is_preferred_to_spreading);
    CPPUNIT_TEST(teams_are_left_their_guarantees);
    CPPUNIT_TEST_SUITE_END();

public:
    /// The search takes one worker after the other. A gang that is stopped for
    /// a later worker frees room on the earlier ones as well.
    void runs_that_a_stopped_gang_makes_room_for_go_on()
    {
        constexpr std::size_t single = 1;
        constexpr std::size_t gang = 2;
        std::vector<worker_candidate> candidates{candidate("a", "r", 0),
                                                 candidate("b", "r", 0)};
        add_run(candidates[0], single, 4, 5);
        add_run(candidates[0], gang, 4, 12);
        add_run(candidates[1], gang, 4, 12);
        auto const p =
            plan_reclaim(candidates, accelerators(4, 2), rack_spread::multiple);
        expect(p && p->places.size() == 2, "two places");
        expect(p->victims == std::set<std::size_t>{gang},
               "only the gang is stopped");
        expect(p->lost_work == 12, "and only its work is lost");
        section("a run that is in the way is stopped",
                [&]
                {
                    candidates[0].stoppable[1].held.accelerators = 2;
                    auto const both = plan_reclaim(
                        candidates, accelerators(4, 2), rack_spread::multiple);
                    expect(both && both->victims.size() == 2, "both");
                });
    }

    void small_tasks_fill_partly_used_workers_first()
    {
        std::vector<worker_candidate> const candidates{candidate("a", "r", 8),
                                                       candidate("b", "r", 2)};
        auto const p =
            find_places(candidates, accelerators(1, 2), rack_spread::multiple);
        expect(p && *p == std::vector<std::string>{"b", "b"},
               "the worker with less free capacity");
    }

    void workers_with_a_penalty_come_last()
    {
        std::vector<worker_candidate> candidates{candidate("a", "r", 8),
                                                 candidate("b", "r", 2)};
        candidates[1].penalty = 1;
        auto const p =
            find_places(candidates, accelerators(1, 1), rack_spread::multiple);
        expect(p && p->front() == "a", "the worker without a penalty");
        section("and are used when the others are full",
                [&]
                {
                    auto const all = find_places(candidates, accelerators(2, 5),
                                                 rack_spread::multiple);
                    expect(all && all->back() == "b",
                           "the last task is placed there");
                });
    }

    void labels_limits_and_avoided_workers_are_respected()
    {
        std::vector<worker_candidate> candidates{candidate("a", "r", 8),
                                                 candidate("b", "r", 8),
                                                 candidate("c", "r", 8)};
        candidates[1].labels = {"fast"};
        auto need = accelerators(1, 1);
        need.label = "fast";
        expect(find_places(candidates, need, rack_spread::multiple)->front() ==
                   "b",
               "the worker with the label");
        need = accelerators(1, 3);
        need.most_per_worker = 1;
        auto const spread =
            find_places(candidates, need, rack_spread::multiple);
        expect(
            spread &&
                std::set<std::string>(spread->begin(), spread->end()).size() ==
                    3,
            "one task per worker");
        need.avoid = {"a"};
        expect(!find_places(candidates, need, rack_spread::multiple),
               "not on the avoided worker");
    }

    void gang_is_placed_on_one_rack()
    {
        std::vector<worker_candidate> const candidates{candidate("a", "r1", 8),
                                                       candidate("b", "r2", 8),
                                                       candidate("c", "r2", 8)};
        auto need = accelerators(8, 2);
        need.same_rack = true;
        auto const choice = choose_plan(candidates, need, {});
        expect(choice && choice->places == std::vector<std::string>{"b", "c"},
               "rack r2");
        section("or waits rather than span racks",
                [&]
                {
                    auto busy = candidates;
                    busy[1].free.accelerators = 0;
                    reclaim_terms terms;
                    terms.max_rack_wait_ms = 4'000;
                    need.waited_ms = 3'999;
                    expect(!choose_plan(busy, need, terms),
                           "waits for one rack");
                    need.waited_ms = 4'000;
                    expect(choose_plan(busy, need, terms).has_value(),
                           "spans racks after the longest wait");
                    section("and does not stop work in order to span racks",
                            [&]
                            {
                                terms.may_stop = true;
                                terms.own_work = 1'000;
                                terms.far_factor = 3;
                                busy[0].free = busy[0].free_after_stops = {};
                                busy[1].free_after_stops = {};
                                add_run(busy[0], 1, 8, 1);
                                add_run(busy[2], 2, 8, 1);
                                need.waited_ms = 3'999;
                                expect(!choose_plan(busy, need, terms),
                                       "waits for one rack");
                            });
                });
    }

    void cheapest_runs_are_stopped()
    {
        std::vector<worker_candidate> candidates{candidate("a", "r", 0),
                                                 candidate("b", "r", 0)};
        add_run(candidates[0], 1, 4, 50);
        add_run(candidates[0], 2, 4, 5);
        add_run(candidates[1], 3, 4, 20);
        auto const plan =
            plan_reclaim(candidates, accelerators(4, 1), rack_spread::multiple);
        expect(plan && plan->victims == std::set<std::size_t>{2},
               "the cheaper run stops");
        section("and only as many as needed",
                [&]
                {
                    add_run(candidates[1], 4, 8, 1);
                    auto const one = plan_reclaim(
                        candidates, accelerators(8, 1), rack_spread::multiple);
                    expect(one && one->victims == std::set<std::size_t>{4},
                           "a single run stops");
                });
    }

    void stopping_little_work_is_preferred_to_spreading()
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
        section("but not if much work would be lost",
                [&]
                {
                    candidates[2].stoppable[0].lost_work = 5'000;
                    auto const far = choose_plan(candidates, need, terms);
                    expect(far && far->victims.empty() && far->fits_now,
                           "the gang spans racks and stops nothing");
                });
    }

    void teams_are_left_their_guarantees()
    {
        std::vector<worker_candidate> candidates{candidate("a", "r", 0),
                                                 candidate("b", "r", 0)};
        add_run(candidates[0], 1, 8, 5, "x");
        add_run(candidates[1], 2, 8, 10, "y");
        auto const victims =
            [&](std::int64_t tasks, accelerators_by_team const& excess)
        {
            auto const plan = plan_reclaim(candidates, accelerators(8, tasks),
                                           rack_spread::multiple, excess);
            return plan ? plan->victims : std::set<std::size_t>();
        };
        using runs = std::set<std::size_t>;
        section("a team without excess stops nothing",
                [&]
                {
                    expect(victims(1, {}).empty(), "of either");
                    expect(victims(1, {{"y", 8}}) == runs{2}, "of the other");
                    expect(victims(2, {{"y", 16}}).empty(), "of the first");
                });
        section("excess of both is used",
                [&]
                {
                    expect(victims(1, {{"x", 8}, {"y", 8}}) == runs{1},
                           "the cheaper run stops");
                    expect(victims(2, {{"x", 8}, {"y", 8}}) == runs{1, 2},
                           "both stop");
                });
        section("a run that cuts a guarantee comes last",
                [&]
                {
                    expect(victims(1, {{"x", 4}, {"y", 8}}) == runs{2},
                           "though less work is lost");
                    expect(victims(1, {{"x", 4}}) == runs{1}, "if it must");
                });
        section("a gang counts once",
                [&]
                {
                    candidates.pop_back();
                    candidates[0].stoppable.clear();
                    add_run(candidates[0], 3, 4, 5, "x");
                    add_run(candidates[0], 3, 4, 5, "x");
                    expect(victims(1, {{"x", 4}}) == runs{3}, "on one worker");
                });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_placement);

} // namespace
