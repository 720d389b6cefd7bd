/// \file
/// Runs on a worker that leaves. Its reports count the remaining time down;
/// when each report was taken for the whole time since the first, runs were
/// stopped after half of it.

#include "manual_dispatcher.hpp"
#include "section.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace support;

constexpr milliseconds drain_ms = 6'500;
constexpr milliseconds report_interval_ms = 1'300;
constexpr milliseconds max_stop_ms = 900;
constexpr milliseconds ran_before_ms = 2'000;

/// A worker that begins to drain while it runs one task with checkpoints.
class draining_worker
{
public:
    /// \param work_ms  duration of the task
    explicit draining_worker(milliseconds work_ms) : work_ms_(work_ms)
    {
        dispatcher_.add_worker("w1", 1);
        dispatcher_.run_for(500);
        dispatcher_.submit("a", "batch", 1, true);
        dispatcher_.run_for(100);
        expect(dispatcher_.starts.size() == 1, "started");
        run_task(ran_before_ms);
    }

    /// \returns how long after the begin of the drain the task was stopped;
    /// the whole drain if it was not.
    milliseconds drain()
    {
        auto const begun = dispatcher_.now;
        for (milliseconds passed = 0; passed < drain_ms;
             passed = dispatcher_.now - begun)
        {
            if (passed % report_interval_ms == 0)
                dispatcher_.drain_worker("w1", drain_ms - passed);
            run_task(manual_dispatcher::step_ms);
            if (!dispatcher_.stops.empty())
                return passed;
        }
        return drain_ms;
    }

private:
    void run_task(milliseconds ms)
    {
        for (milliseconds t = 0; t < ms; t += manual_dispatcher::step_ms)
        {
            ran_ms_ += manual_dispatcher::step_ms;
            dispatcher_.percents["w1"] = ran_ms_ * 100 / work_ms_;
            dispatcher_.run_for(manual_dispatcher::step_ms);
        }
    }

    milliseconds work_ms_;
    milliseconds ran_ms_ = 0;
    manual_dispatcher dispatcher_;
};

class test_draining : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_draining);
    CPPUNIT_TEST(a_task_that_ends_in_time_is_not_stopped);
    CPPUNIT_TEST(a_task_with_checkpoints_runs_to_the_last_moment);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_task_that_ends_in_time_is_not_stopped()
    {
        draining_worker w(7'500);
        expect(w.drain() == drain_ms, "it ran until the worker left");
    }

    void a_task_with_checkpoints_runs_to_the_last_moment()
    {
        draining_worker w(60'000);
        auto const stopped_ms = w.drain();
        expect(stopped_ms >= drain_ms - max_stop_ms - 200,
               "stopped after " + std::to_string(stopped_ms) + " ms");
        expect(stopped_ms < drain_ms, "stopped before the worker leaves");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_draining);

} // namespace
