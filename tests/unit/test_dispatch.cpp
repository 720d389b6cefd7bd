/// \file
/// The dispatcher among workers that fail, hang, leave and are cut off.

#include "dispatch_simulation.hpp"
#include "section.hpp"
#include "small_jobs.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>

namespace
{

using namespace support;

void expect_clean(dispatch_simulation const& w)
{
    auto const& v = w.violations();
    expect(v.empty(), v.empty() ? "" : v.front());
}

class test_dispatch : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_dispatch);
    CPPUNIT_TEST(a_job_of_two_steps_is_done_in_order);
    CPPUNIT_TEST(a_gang_starts_whole_and_ends_once);
    CPPUNIT_TEST(urgent_work_reclaims_accelerators);
    CPPUNIT_TEST(a_worker_that_left_gives_its_tasks_back);
    CPPUNIT_TEST(a_cut_off_worker_is_not_doubled);
    CPPUNIT_TEST(a_successor_adopts_what_runs);
    CPPUNIT_TEST(leases_outlive_an_outage_of_the_log);
    CPPUNIT_TEST(a_hopeless_job_fails_and_stops);
    CPPUNIT_TEST(a_failing_worker_is_avoided);
    CPPUNIT_TEST(a_hanging_worker_is_left);
    CPPUNIT_TEST(a_cancelled_job_stops);
    CPPUNIT_TEST(a_worker_that_starts_again_has_nothing);
    CPPUNIT_TEST(random_faults_break_no_promise);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_job_of_two_steps_is_done_in_order()
    {
        dispatch_simulation w(1);
        add_racks(w);
        auto spec = simple_job(10, 2);
        spec.steps.push_back(spec.steps[0]);
        spec.steps[1].after = {0};
        w.submit("a", "batch", spec);
        w.run_for(4'000);
        expect(w.phase("a") == job_phase::completed, "completed");
        expect(w.starts("a") == 20, "each task once");
        expect_clean(w);
    }

    void a_gang_starts_whole_and_ends_once()
    {
        dispatch_simulation w(2);
        add_racks(w);
        auto spec = gang_job(4, 8);
        spec.steps[0].same_rack = true;
        w.submit("a", "batch", spec);
        w.run_for(4'000);
        expect(w.phase("a") == job_phase::completed, "completed");
        expect(w.starts("a") == 4, "four members, once");
        expect(w.ended(run_end::alone) == 0, "none waits in vain");
        expect_clean(w);
    }

    void urgent_work_reclaims_accelerators()
    {
        dispatch_simulation w(3);
        add_racks(w);
        w.submit("batch", "batch", simple_job(64, 1), {30'000});
        w.run_for(2'000);
        expect(w.running("batch") == 64, "everything is borrowed");
        auto const asked = w.now();
        w.submit("urgent", "urgent", gang_job(2, 8));
        w.run_for(3'400);
        section("in time, by stopping no more than it needs",
                [&]
                {
                    expect(w.begun_at("urgent") >= 0 &&
                               w.begun_at("urgent") - asked <= 3'400,
                           "begun within the bound");
                    expect(w.ended(run_end::stopped) == 16, "16 stops");
                });
        w.run_for(80'000);
        section(
            "and what was stopped runs again", [&]
            { expect(w.phase("batch") == job_phase::completed, "completed"); });
        expect_clean(w);
    }

    void a_worker_that_left_gives_its_tasks_back()
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
        expect_clean(w);
    }

    void a_cut_off_worker_is_not_doubled()
    {
        dispatch_simulation w(5);
        add_racks(w);
        w.submit("a", "batch", simple_job(8, 8), {9'000});
        w.run_for(1'000);
        w.disconnect_worker("w2", true);
        w.run_for(5'000);
        section("its tasks are not started elsewhere while its lease holds",
                [&] { expect(w.starts("a") == 8, "no second start"); });
        w.run_for(30'000);
        expect(w.phase("a") == job_phase::completed, "completed");
        expect_clean(w);
    }

    void a_successor_adopts_what_runs()
    {
        dispatch_simulation w(6);
        add_racks(w);
        w.submit("a", "batch", simple_job(8, 8), {6'000});
        w.submit("b", "batch", gang_job(3, 4), {6'000});
        w.run_for(2'000);
        section("from a killed dispatcher",
                [&]
                {
                    w.kill_leader();
                    w.run_for(1'000);
                    w.take_over();
                    w.run_for(2'000);
                    expect(w.starts("a") == 8, "nothing starts again");
                });
        section("from one that does not know yet",
                [&]
                {
                    w.take_over();
                    w.run_for(30'000);
                    expect(w.phase("a") == job_phase::completed, "a");
                    expect(w.phase("b") == job_phase::completed, "b");
                    expect(w.starts("a") == 8, "nothing ran twice");
                });
        expect_clean(w);
    }

    void leases_outlive_an_outage_of_the_log()
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
        expect(w.phase("a") == job_phase::completed, "ends were kept");
        expect(w.starts("a") == 8, "each once");
        expect_clean(w);
    }

    void a_hopeless_job_fails_and_stops()
    {
        dispatch_simulation w(8);
        add_racks(w);
        w.submit("a", "batch", simple_job(2, 1), {1'000, true});
        w.run_for(10'000);
        expect(w.phase("a") == job_phase::failed, "failed");
        expect(w.starts("a") <= 6, "at most three attempts a task");
        expect_clean(w);
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
                   "job " + std::to_string(i) + " is done");
        expect_clean(w);
    }

    void a_hanging_worker_is_left()
    {
        dispatch_simulation w(10);
        add_racks(w);
        w.hang_worker("w1", true);
        w.submit("a", "batch", simple_job(8, 8), {2'000});
        w.run_for(14'000);
        expect(w.phase("a") == job_phase::completed, "completed elsewhere");
        expect_clean(w);
    }

    void a_cancelled_job_stops()
    {
        dispatch_simulation w(11);
        add_racks(w);
        w.submit("a", "batch", simple_job(40, 2), {20'000});
        w.run_for(1'000);
        expect(w.running("a") == 32, "all that fits runs");
        w.cancel("a");
        w.run_for(1'000);
        expect(w.phase("a") == job_phase::cancelled, "cancelled");
        expect(w.running("a") == 0, "nothing runs on");
        expect_clean(w);
    }

    void a_worker_that_starts_again_has_nothing()
    {
        dispatch_simulation w(12);
        add_racks(w);
        w.submit("a", "batch", simple_job(8, 8), {4'000});
        w.run_for(1'000);
        w.crash_worker("w5");
        w.run_for(8'000);
        expect(w.phase("a") == job_phase::completed, "run again");
        expect(w.starts("a") == 9, "one task twice");
        expect_clean(w);
    }

    void random_faults_break_no_promise()
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
        expect_clean(w);
        for (int i = 0; i < jobs; ++i)
            expect(is_final(w.phase("job" + std::to_string(i))),
                   "job " + std::to_string(i) + " has an end");
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
