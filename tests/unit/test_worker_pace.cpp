/// \file
/// What is learnt of the speed of workers.

#include "section.hpp"

#include <jasminetrack/tasks/worker_pace.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace jasminetrack::tasks;
using support::expect;
using support::section;

class test_worker_pace : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_worker_pace);
    CPPUNIT_TEST(a_step_has_a_usual_duration);
    CPPUNIT_TEST(a_run_is_projected_once);
    CPPUNIT_TEST(a_kind_of_machine_shows_over_several_tasks);
    CPPUNIT_TEST(a_worker_that_crawls_shows_at_once);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_step_has_a_usual_duration()
    {
        step_durations d;
        d.add(1'000);
        d.add(9'000);
        expect(!d.median(), "two tell too little");
        d.add(1'200);
        expect(d.median() == 1'200, "one that crawls does not count");
    }

    void a_run_is_projected_once()
    {
        run_progress p;
        p.update(5'000, 0);
        p.update(5'500, 10);
        expect(!p.take_projected_duration(), "too few points");
        p.update(6'000, 25);
        expect(p.take_projected_duration() == 4'000, "a quarter in one second");
        p.update(8'000, 75);
        expect(!p.take_projected_duration(), "once");
        section("what it had done before it came here does not count",
                [&]
                {
                    run_progress resumed;
                    resumed.update(1'000, 50);
                    resumed.update(2'000, 75);
                    expect(resumed.take_projected_duration() == 4'000,
                           "same speed");
                });
    }

    void a_kind_of_machine_shows_over_several_tasks()
    {
        worker_pace slow;
        worker_pace usual;
        for (int i = 0; i < 12; ++i)
        {
            auto const uneven = i % 2 == 0 ? 850 : 1'150;
            if (i < 3)
                expect(slow.speed(0) == worker_speed::usual, "too few tasks");
            slow.add_sample(0, 1'300 * uneven / 1'000, 1'000);
            usual.add_sample(0, uneven, 1'000);
        }
        expect(slow.speed(60'000) == worker_speed::slower, "slower for good");
        expect(usual.speed(60'000) == worker_speed::usual, "usual");
    }

    void a_worker_that_crawls_shows_at_once()
    {
        worker_pace p;
        for (int i = 0; i < 10; ++i)
            p.add_sample(0, 1'000, 1'000);
        p.add_sample(1'000, 4'000, 1'000);
        expect(p.speed(1'000) == worker_speed::crawling, "one task suffices");
        expect(p.speed(30'000) != worker_speed::crawling, "tried again");
        p.add_sample(30'000, 1'000, 1'000);
        p.add_sample(30'100, 1'000, 1'000);
        expect(p.speed(30'100) == worker_speed::usual, "and as before");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_worker_pace);

} // namespace
