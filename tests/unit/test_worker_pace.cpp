/// \file
/// Tests the speed estimates of workers.

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
    CPPUNIT_TEST(median_needs_enough_durations);
    CPPUNIT_TEST(run_duration_is_projected_once);
    CPPUNIT_TEST(slower_machine_is_detected_over_several_tasks);
    CPPUNIT_TEST(crawling_worker_is_detected_after_one_task);
    CPPUNIT_TEST_SUITE_END();

public:
    void median_needs_enough_durations()
    {
        step_durations d;
        d.add(1'000);
        d.add(9'000);
        expect(!d.median(), "two durations are too few");
        d.add(1'200);
        expect(d.median() == 1'200, "one slow task does not change the median");
    }

    void run_duration_is_projected_once()
    {
        run_progress p;
        p.update(5'000, 0);
        p.update(5'500, 10);
        expect(!p.take_projected_duration(), "too little progress");
        p.update(6'000, 25);
        expect(p.take_projected_duration() == 4'000, "25 % took one second");
        p.update(8'000, 75);
        expect(!p.take_projected_duration(),
               "only the first call returns a value");
        section("progress from a checkpoint does not count",
                [&]
                {
                    run_progress resumed;
                    resumed.update(1'000, 50);
                    resumed.update(2'000, 75);
                    expect(resumed.take_projected_duration() == 4'000,
                           "25 % took one second");
                });
    }

    void slower_machine_is_detected_over_several_tasks()
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
        expect(slow.speed(60'000) == worker_speed::slower,
               "permanently slower");
        expect(usual.speed(60'000) == worker_speed::usual, "usual speed");
    }

    void crawling_worker_is_detected_after_one_task()
    {
        worker_pace p;
        for (int i = 0; i < 10; ++i)
            p.add_sample(0, 1'000, 1'000);
        p.add_sample(1'000, 4'000, 1'000);
        expect(p.speed(1'000) == worker_speed::crawling,
               "detected after one task");
        expect(p.speed(30'000) != worker_speed::crawling,
               "the worker is tried again");
        p.add_sample(30'000, 1'000, 1'000);
        p.add_sample(30'100, 1'000, 1'000);
        expect(p.speed(30'100) == worker_speed::usual,
               "the worker has its usual speed again");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_worker_pace);

} // namespace
