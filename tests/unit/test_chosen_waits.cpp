/// \file
/// How long work waits by the dispatcher's own choice: for one rack, for the
/// room that is kept for urgent work, for other workers than those on which it
/// failed.

#include "dispatch_simulation.hpp"
#include "section.hpp"
#include "small_jobs.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace support;

constexpr int racks = 5;
constexpr int workers_per_rack = 4;
constexpr std::int64_t whole_worker = 8; ///< accelerators
constexpr milliseconds long_ms = 90'000;
constexpr milliseconds gang_ms = 11'000;
/// A task that could run may have nothing running for so long in an idle fleet.
constexpr milliseconds max_standstill_ms = 3'000;

std::string name_of(int rack, int worker)
{
    return "w" + std::to_string(rack) + "-" + std::to_string(worker);
}

void add_fleet(dispatch_simulation& w)
{
    w.configure(two_queues());
    for (int rack = 0; rack < racks; ++rack)
        for (int i = 0; i < workers_per_rack; ++i)
            w.add_worker(name_of(rack, i), "r" + std::to_string(rack),
                         {64'000, 128'000, whole_worker});
    w.run_for(1'000);
}

/// Submits tasks that use whole workers for a long time, one for each worker.
void keep_busy(dispatch_simulation& w, std::int64_t workers)
{
    auto spec = simple_job(workers, whole_worker);
    spec.steps[0].estimate_ms = long_ms;
    w.submit("busy", "batch", spec, {long_ms});
    w.run_for(1'000);
    expect(w.running("busy") == workers, "workers are in use");
}

/// One worker of each rack is in use, so no rack has four free ones.
void keep_each_rack_busy(dispatch_simulation& w)
{
    auto spec = simple_job(racks, whole_worker);
    spec.steps[0].estimate_ms = long_ms;
    spec.steps[0].label = "busy";
    for (int rack = 0; rack < racks; ++rack)
        w.set_label(name_of(rack, 0), "busy");
    w.run_for(3'000);
    w.submit("busy", "batch", spec, {long_ms});
    w.run_for(1'000);
    expect(w.running("busy") == racks, "one worker of each rack is in use");
}

/// A gang that uses whole workers.
job_spec whole_workers_gang(std::int64_t members, bool same_rack)
{
    auto spec = gang_job(members, whole_worker);
    spec.steps[0].estimate_ms = gang_ms;
    spec.steps[0].same_rack = same_rack;
    return spec;
}

/// \returns how long it took until the job ran, up to `limit`.
milliseconds time_to_begin(dispatch_simulation& w, std::string const& job,
                           milliseconds limit)
{
    constexpr milliseconds step = 100;
    auto const since = w.now();
    while (w.begun_at(job) < 0 && w.now() - since < limit)
        w.run_for(step);
    return w.now() - since;
}

/// Urgent work uses some workers for a second, again and again.
milliseconds time_to_begin_beside_bursts(dispatch_simulation& w,
                                         std::string const& job,
                                         std::int64_t burst_workers,
                                         milliseconds limit)
{
    constexpr milliseconds burst_ms = 1'000;
    constexpr milliseconds pause_ms = 2'500;
    auto const since = w.now();
    for (int i = 0; w.begun_at(job) < 0 && w.now() - since < limit; ++i)
    {
        w.submit("burst" + std::to_string(i), "urgent",
                 simple_job(burst_workers, whole_worker), {burst_ms});
        time_to_begin(w, job, pause_ms);
    }
    return w.begun_at(job) < 0 ? limit : w.begun_at(job) - since;
}

class test_chosen_waits : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_chosen_waits);
    CPPUNIT_TEST(a_gang_does_not_wait_for_a_rack_in_an_idle_fleet);
    CPPUNIT_TEST(a_take_over_does_not_hold_a_gang_for_a_rack);
    CPPUNIT_TEST(bursts_do_not_keep_a_gang_out_of_an_idle_fleet);
    CPPUNIT_TEST(bursts_do_not_keep_a_large_gang_out_without_end);
    CPPUNIT_TEST(a_lasting_task_is_not_kept_out_while_there_is_room);
    CPPUNIT_TEST(other_tasks_of_a_running_job_leave_the_headroom);
    CPPUNIT_TEST(a_task_that_failed_everywhere_runs_again);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against urgent work that finds no room in a service that is
    /// little used by its cores: the many tasks of a job that runs already took
    /// the headroom, as if the job stood still.
    void other_tasks_of_a_running_job_leave_the_headroom()
    {
        auto const running_after = [](bool waits)
        {
            simulation_faults faults;
            faults.wait_beside_running = waits;
            dispatch_simulation w(67, faults);
            add_fleet(w);
            w.submit("burst", "urgent", simple_job(8, whole_worker), {1'000});
            w.run_for(1'500);
            auto many = simple_job(60, 2);
            many.steps[0].estimate_ms = long_ms;
            w.submit("many", "batch", many, {long_ms});
            w.run_for(2'400);
            expect(w.running("many") > 0, "the job does not stand still");
            return w.running("many");
        };
        auto const all = running_after(false);
        auto const some = running_after(true);
        expect(some < all, std::to_string(some) +
                               " tasks run beside the "
                               "headroom, without the setting " +
                               std::to_string(all));
    }

    void a_gang_does_not_wait_for_a_rack_in_an_idle_fleet()
    {
        dispatch_simulation w(59);
        add_fleet(w);
        keep_each_rack_busy(w);
        w.submit("gang", "batch", whole_workers_gang(4, true), {gang_ms});
        auto const held = time_to_begin(w, "gang", 60'000);
        expect(held < max_standstill_ms,
               "it waits for " + std::to_string(held) + " ms");
    }

    void a_take_over_does_not_hold_a_gang_for_a_rack()
    {
        dispatch_simulation w(60);
        add_fleet(w);
        keep_each_rack_busy(w);
        w.kill_leader();
        w.submit("gang", "batch", whole_workers_gang(4, true), {gang_ms});
        w.run_for(500);
        w.take_over();
        auto const held = time_to_begin(w, "gang", 60'000);
        expect(held < max_standstill_ms,
               "it waits for " + std::to_string(held) + " ms");
        expect(w.violations().empty(), "no invariant is violated");
    }

    void bursts_do_not_keep_a_gang_out_of_an_idle_fleet()
    {
        dispatch_simulation w(61);
        add_fleet(w);
        keep_busy(w, 5);
        w.submit("burst", "urgent", simple_job(10, whole_worker), {1'000});
        w.run_for(1'000);
        w.submit("gang", "batch", whole_workers_gang(4, false), {gang_ms});
        auto const held = time_to_begin_beside_bursts(w, "gang", 10, 60'000);
        expect(held < max_standstill_ms,
               "it waits for " + std::to_string(held) + " ms");
    }

    void bursts_do_not_keep_a_large_gang_out_without_end()
    {
        dispatch_simulation w(62);
        add_fleet(w);
        keep_busy(w, 5);
        w.submit("burst", "urgent", simple_job(6, whole_worker), {1'000});
        w.run_for(1'000);
        w.submit("gang", "batch", whole_workers_gang(8, false), {gang_ms});
        constexpr milliseconds budget_and_one_burst = 12'500;
        auto const held = time_to_begin_beside_bursts(w, "gang", 6, 60'000);
        expect(held <= budget_and_one_burst,
               "it waits for " + std::to_string(held) + " ms");
    }

    void a_lasting_task_is_not_kept_out_while_there_is_room()
    {
        dispatch_simulation w(63);
        add_fleet(w);
        keep_busy(w, 12);
        w.submit("burst", "urgent", simple_job(8, whole_worker), {1'000});
        w.run_for(1'600);
        auto spec = simple_job(1, whole_worker);
        spec.steps[0].lasting = true;
        w.submit("lasting", "batch", spec, {long_ms});
        auto const held = time_to_begin_beside_bursts(w, "lasting", 8, 60'000);
        expect(held < max_standstill_ms,
               "it waits for " + std::to_string(held) + " ms");
    }

    void a_task_that_failed_everywhere_runs_again()
    {
        dispatch_simulation w(64);
        w.configure(two_queues());
        for (auto const* id : {"w0", "w1"})
            w.add_worker(id, "r", {64'000, 128'000, whole_worker});
        w.run_for(1'000);
        for (auto const* id : {"w0", "w1"})
            w.fail_worker(id, true);
        w.submit("job", "batch", simple_job(1, 1), {200});
        for (int i = 0; w.ended(run_end::failed) < 2 && i < 100; ++i)
            w.run_for(100);
        expect(w.ended(run_end::failed) == 2, "it failed on both workers");
        for (auto const* id : {"w0", "w1"})
            w.fail_worker(id, false);
        w.run_for(6'000);
        expect(w.phase("job") == job_phase::completed, "the last attempt ran");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_chosen_waits);

} // namespace
