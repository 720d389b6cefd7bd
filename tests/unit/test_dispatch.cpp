/// \file
/// Tests the dispatcher with workers that fail, hang, drain, restart and lose
/// their connection.

#include "dispatch_simulation.hpp"
#include "manual_dispatcher.hpp"
#include "section.hpp"
#include "small_jobs.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>

namespace
{

using namespace support;

void expect_no_violations(dispatch_simulation const& w)
{
    auto const& v = w.violations();
    expect(v.empty(), v.empty() ? "" : v.front().text);
}

class test_dispatch : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_dispatch);
    CPPUNIT_TEST(dependent_steps_run_in_order);
    CPPUNIT_TEST(gang_members_start_together_and_complete_once);
    CPPUNIT_TEST(urgent_work_reclaims_accelerators);
    CPPUNIT_TEST(tasks_of_a_drained_worker_run_elsewhere);
    CPPUNIT_TEST(tasks_of_a_disconnected_worker_do_not_run_twice);
    CPPUNIT_TEST(new_dispatcher_adopts_running_tasks);
    CPPUNIT_TEST(leases_are_renewed_during_a_log_outage);
    CPPUNIT_TEST(job_fails_after_its_last_attempt);
    CPPUNIT_TEST(a_failing_worker_is_avoided);
    CPPUNIT_TEST(tasks_move_off_a_hanging_worker);
    CPPUNIT_TEST(a_cancelled_job_stops);
    CPPUNIT_TEST(tasks_lost_in_a_worker_restart_run_again);
    CPPUNIT_TEST(random_faults_violate_no_invariant);
    CPPUNIT_TEST(a_job_that_does_not_fit_a_record_stops_no_other);
    CPPUNIT_TEST(the_end_of_a_task_stops_no_other_of_its_step);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a healthy task 0 that is stopped with another task.
    void the_end_of_a_task_stops_no_other_of_its_step()
    {
        manual_dispatcher h;
        h.add_worker("w1", 1);
        accepted_job job;
        job.id = "a";
        job.queue = "batch";
        job.team = "team";
        job.spec = simple_job(3, 1);
        h.submit(job);
        h.run_for(500);
        expect(h.starts.size() == 3, "all tasks run on one worker");
        task_run const last{{"a", 0, 0, 2}, 1};
        h.held.insert("w1");
        h.run_for(500);
        h.running.at("w1").erase(last);
        h.reply(answer_with_end(h, last));
        h.held.clear();
        h.run_for(2'000);
        section("the others are not stopped",
                [&] { expect(h.stops.empty(), "no stop"); });
        section("and count as running",
                [&]
                {
                    for (auto const& [run, o] : h.view_of("w1").hosted_runs)
                        expect(!o.ending, "not ending");
                });
    }

    /// Guards against a standstill of all jobs: the log refused the progress of
    /// one job as too large, and each append with it.
    void a_job_that_does_not_fit_a_record_stops_no_other()
    {
        auto large = simple_job(9'000, 0);
        large.steps[0].need = {50, 100, 0};
        section("it is refused on submission, with the limit",
                [&]
                {
                    auto const reason = validate(large);
                    expect(reason &&
                               reason->find("262144") != std::string::npos,
                           reason.value_or("accepted"));
                    large.steps[0].count = 7'000;
                    expect(!validate(large), "7,000 tasks are accepted");
                });
        section(
            "one that was accepted all the same ends by itself",
            [&]
            {
                large.steps[0].count = 9'000;
                dispatch_simulation w(1);
                w.configure(two_queues());
                for (int k = 0; k < 8; ++k)
                    w.add_worker("worker-of-usual-length-" + std::to_string(k),
                                 "r1", {64'000, 128'000, 8});
                w.submit("large", "batch", large, {60'000});
                w.run_for(2'000);
                w.submit("small", "batch", simple_job(2, 1), {1'000});
                w.run_for(4'000);
                expect(w.phase("small") == job_phase::completed,
                       "another job is done");
                expect(w.phase("large") == job_phase::failed, "it has failed");
            });
    }

    void dependent_steps_run_in_order()
    {
        dispatch_simulation w(1);
        add_racks(w);
        auto spec = simple_job(10, 2);
        spec.steps.push_back(spec.steps[0]);
        spec.steps[1].after = {0};
        w.submit("a", "batch", spec);
        w.run_for(4'000);
        expect(w.phase("a") == job_phase::completed, "completed");
        expect(w.starts("a") == 20, "each task started once");
        expect_no_violations(w);
    }

    void gang_members_start_together_and_complete_once()
    {
        dispatch_simulation w(2);
        add_racks(w);
        auto spec = gang_job(4, 8);
        spec.steps[0].same_rack = true;
        w.submit("a", "batch", spec);
        w.run_for(4'000);
        expect(w.phase("a") == job_phase::completed, "completed");
        expect(w.starts("a") == 4, "each of four members started once");
        expect(w.ended(run_end::alone) == 0,
               "no member timed out waiting for the gang");
        expect_no_violations(w);
    }

    void urgent_work_reclaims_accelerators()
    {
        dispatch_simulation w(3);
        add_racks(w);
        w.submit("batch", "batch", simple_job(64, 1), {30'000});
        w.run_for(2'000);
        expect(w.running("batch") == 64,
               "low-priority work uses all accelerators");
        auto const submitted = w.now();
        w.submit("urgent", "urgent", gang_job(2, 8));
        w.run_for(3'400);
        section("starts within the reclaim bound and stops only what it needs",
                [&]
                {
                    expect(w.begun_at("urgent") >= 0 &&
                               w.begun_at("urgent") - submitted <= 3'400,
                           "started within the bound");
                    expect(w.ended(run_end::stopped) == 16,
                           "16 runs were stopped");
                });
        w.run_for(80'000);
        section(
            "the stopped tasks run again", [&]
            { expect(w.phase("batch") == job_phase::completed, "completed"); });
        expect_no_violations(w);
    }

    void tasks_of_a_drained_worker_run_elsewhere()
    {
        dispatch_simulation w(4);
        add_racks(w);
        w.submit("a", "batch", simple_job(8, 8), {5'000});
        w.run_for(1'000);
        w.drain_worker("w3");
        w.run_for(500);
        w.remove_worker("w3");
        w.run_for(25'000);
        expect(w.phase("a") == job_phase::completed, "completed elsewhere");
        expect_no_violations(w);
    }

    void tasks_of_a_disconnected_worker_do_not_run_twice()
    {
        dispatch_simulation w(5);
        add_racks(w);
        w.submit("a", "batch", simple_job(8, 8), {9'000});
        w.run_for(1'000);
        w.disconnect_worker("w2", true);
        w.run_for(5'000);
        section("its tasks are not started elsewhere while its lease is valid",
                [&] { expect(w.starts("a") == 8, "no second start"); });
        w.run_for(30'000);
        expect(w.phase("a") == job_phase::completed, "completed");
        expect_no_violations(w);
    }

    void new_dispatcher_adopts_running_tasks()
    {
        dispatch_simulation w(6);
        add_racks(w);
        w.submit("a", "batch", simple_job(8, 8), {6'000});
        w.submit("b", "batch", gang_job(3, 4), {6'000});
        w.run_for(2'000);
        section("after the previous dispatcher was killed",
                [&]
                {
                    w.kill_leader();
                    w.run_for(1'000);
                    w.take_over();
                    w.run_for(2'000);
                    expect(w.starts("a") == 8, "no task started again");
                });
        section(
            "while the previous dispatcher still runs",
            [&]
            {
                w.take_over();
                w.run_for(30'000);
                expect(w.phase("a") == job_phase::completed, "job a completed");
                expect(w.phase("b") == job_phase::completed, "job b completed");
                expect(w.starts("a") == 8, "no task started twice");
            });
        expect_no_violations(w);
    }

    void leases_are_renewed_during_a_log_outage()
    {
        dispatch_simulation w(7);
        add_racks(w);
        w.submit("a", "batch", simple_job(8, 8), {12'000});
        w.run_for(1'000);
        w.log_down(true);
        w.run_for(15'000);
        expect(w.ended(run_end::lapsed) == 0, "no lease expired");
        w.log_down(false);
        w.run_for(2'000);
        expect(w.phase("a") == job_phase::completed,
               "the workers kept the ends");
        expect(w.starts("a") == 8, "each task started once");
        expect_no_violations(w);
    }

    void job_fails_after_its_last_attempt()
    {
        dispatch_simulation w(8);
        add_racks(w);
        w.submit("a", "batch", simple_job(2, 1), {1'000, true});
        w.run_for(10'000);
        expect(w.phase("a") == job_phase::failed, "failed");
        expect(w.starts("a") <= 6, "at most three attempts per task");
        expect_no_violations(w);
    }

    void a_failing_worker_is_avoided()
    {
        dispatch_simulation w(9);
        add_racks(w);
        w.fail_worker("w0", true);
        for (int i = 0; i < 12; ++i)
        {
            w.submit("job" + std::to_string(i), "batch", simple_job(4, 2));
            w.run_for(500);
        }
        w.run_for(10'000);
        for (int i = 0; i < 12; ++i)
            expect(w.phase("job" + std::to_string(i)) == job_phase::completed,
                   "job " + std::to_string(i) + " completed");
        expect_no_violations(w);
    }

    void tasks_move_off_a_hanging_worker()
    {
        dispatch_simulation w(10);
        add_racks(w);
        w.hang_worker("w1", true);
        w.submit("a", "batch", simple_job(8, 8), {2'000});
        w.run_for(14'000);
        expect(w.phase("a") == job_phase::completed, "completed elsewhere");
        expect_no_violations(w);
    }

    void a_cancelled_job_stops()
    {
        dispatch_simulation w(11);
        add_racks(w);
        w.submit("a", "batch", simple_job(40, 2), {20'000});
        w.run_for(1'000);
        expect(w.running("a") == 32, "as many tasks run as fit");
        w.cancel("a");
        w.run_for(1'000);
        expect(w.phase("a") == job_phase::cancelled, "cancelled");
        expect(w.running("a") == 0, "no task still runs");
        expect_no_violations(w);
    }

    void tasks_lost_in_a_worker_restart_run_again()
    {
        dispatch_simulation w(12);
        add_racks(w);
        w.submit("a", "batch", simple_job(8, 8), {4'000});
        w.run_for(1'000);
        w.crash_worker("w5");
        w.run_for(8'000);
        expect(w.phase("a") == job_phase::completed, "the lost task ran again");
        expect(w.starts("a") == 9, "one task started twice");
        expect_no_violations(w);
    }

    void random_faults_violate_no_invariant()
    {
        auto const from = [](char const* name, unsigned fallback)
        {
            auto const* text = std::getenv(name);
            return text ? static_cast<unsigned>(std::atoi(text)) : fallback;
        };
        auto const first_seed = from("JASMINETRACK_SEED", 1);
        auto const seeds = from("JASMINETRACK_SEEDS", 200);
        for (unsigned seed = first_seed; seed < first_seed + seeds; ++seed)
            section("seed " + std::to_string(seed),
                    [&] { run_random_faults(seed); });
        std::cout << " [seeds " << first_seed << " to "
                  << first_seed + seeds - 1 << "]";
    }

private:
    static void run_random_faults(unsigned seed)
    {
        std::mt19937 random(seed);
        auto const below = [&](int n)
        { return std::uniform_int_distribution<>(0, n - 1)(random); };
        dispatch_simulation w(seed, {0.02, 0.02, 0.02, 0.03});
        add_racks(w);
        int jobs = 0;
        for (int i = 0; i < 40; ++i)
        {
            auto const worker = "w" + std::to_string(below(8));
            switch (below(12))
            {
            case 0:
                w.take_over();
                break;
            case 1:
                w.kill_leader();
                w.run_for(below(3'000));
                w.take_over();
                break;
            case 2:
                w.disconnect_worker(worker, true);
                break;
            case 3:
                w.disconnect_worker(worker, false);
                break;
            case 4:
                w.crash_worker(worker);
                break;
            case 5:
                w.log_down(true);
                w.run_for(below(6'000));
                w.log_down(false);
                break;
            case 6:
                if (jobs > 0)
                    w.cancel("job" + std::to_string(below(jobs)));
                break;
            default:
                submit_random(w, "job" + std::to_string(jobs++), below);
            }
            w.run_for(below(2'000));
        }
        for (int i = 0; i < 8; ++i)
            w.disconnect_worker("w" + std::to_string(i), false);
        w.run_for(120'000);
        expect_no_violations(w);
        for (int i = 0; i < jobs; ++i)
            expect(is_final(w.phase("job" + std::to_string(i))),
                   "job " + std::to_string(i) + " has reached a final phase");
    }

    /// The answer of w1 after the run has completed there.
    static renew_reply answer_with_end(manual_dispatcher const& h,
                                       task_run const& run)
    {
        renew_reply r;
        r.worker = "w1";
        r.result = call_result::done;
        r.incarnation = 1;
        r.clock_ms = h.clock_of("w1");
        for (auto const& other : h.running.at("w1"))
            r.running.push_back({other, "", 1});
        r.ended.push_back({1, run, run_end::done, ""});
        return r;
    }

    template <typename Below>
    static void submit_random(dispatch_simulation& w, std::string const& id,
                              Below const& below)
    {
        auto spec = below(2) == 0 ? gang_job(1 + below(4), 1 << below(4))
                                  : simple_job(1 + below(12), 1);
        spec.steps[0].checkpoints = below(2) == 0;
        spec.steps[0].same_rack = below(3) == 0;
        if (below(3) == 0)
        {
            spec.steps.push_back(spec.steps[0]);
            spec.steps[1].after = {0};
        }
        w.submit(id, below(3) == 0 ? "urgent" : "batch", spec,
                 {200 + below(6'000), below(20) == 0});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_dispatch);

} // namespace
