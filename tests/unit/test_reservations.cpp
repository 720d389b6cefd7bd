/// \file
/// Capacity that is reserved on workers which restart, leave or come back while
/// units wait for stops.

#include "crashing_jobs.hpp"
#include "section.hpp"
#include "small_jobs.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace support;

constexpr milliseconds check_ms = 50;
constexpr int workers = 8;
constexpr resources whole{64'000, 128'000, 8};

std::string worker_name(int i)
{
    return "w" + std::to_string(i);
}

class test_reservations : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_reservations);
    CPPUNIT_TEST(workers_that_come_and_go_keep_their_reserved_capacity_right);
    CPPUNIT_TEST(tasks_that_wait_for_stops_keep_to_the_limit_per_worker);
    CPPUNIT_TEST(a_reservation_ends_if_its_worker_is_back_as_another_kind);
    CPPUNIT_TEST_SUITE_END();

public:
    void workers_that_come_and_go_keep_their_reserved_capacity_right()
    {
        constexpr unsigned seeds = 20;
        int seen = 0;
        for (unsigned seed = 1; seed <= seeds; ++seed)
            section("seed " + std::to_string(seed),
                    [&] { seen += run_seed(seed); });
        expect(seen > 0, "there were reservations");
    }

    /// Guards against starts beyond `anti_affinity` (ROUTE): tasks that waited
    /// for stops on a worker were not counted there.
    void tasks_that_wait_for_stops_keep_to_the_limit_per_worker()
    {
        constexpr unsigned seeds = 20;
        for (unsigned seed = 1; seed <= seeds; ++seed)
        {
            dispatch_simulation w(seed);
            w.configure(two_queues());
            w.add_worker("w0", "r1", whole);
            w.submit("older", "batch", simple_job(4, 2), {60'000});
            w.run_for(3'000);
            w.add_worker("w1", "r1", whole);
            w.submit("newer", "batch", simple_job(4, 2), {60'000});
            w.run_for(1'000);
            auto spec = simple_job(2, 2);
            spec.steps[0].most_per_worker = 1;
            w.submit("urgent", "urgent", spec, {1'000});
            w.run_for(10'000);
            expect_no_violations(w);
            expect(w.phase("urgent") == job_phase::completed, "it is done");
        }
    }

    /// Guards against starts on workers without the label in `requires`
    /// (ROUTE): a reserved worker was back under its id as another kind.
    void a_reservation_ends_if_its_worker_is_back_as_another_kind()
    {
        constexpr unsigned seeds = 20;
        for (unsigned seed = 1; seed <= seeds; ++seed)
            section("seed " + std::to_string(seed),
                    [&] { restart_a_reserved_worker(seed); });
    }

private:
    static void restart_a_reserved_worker(unsigned seed)
    {
        simulation_faults faults;
        faults.slow_stops = true;
        dispatch_simulation w(seed, faults);
        w.configure(two_queues());
        w.add_worker("w0", "r1", whole);
        w.submit("batch", "batch", simple_job(1, 8), {60'000});
        w.run_for(3'000 + 50 * seed);
        auto spec = simple_job(1, 8);
        spec.steps[0].label = "a";
        w.submit("urgent", "urgent", spec, {1'000});
        while (w.leader().reservations() == 0)
            w.run_for(10);
        w.crash_worker("w0");
        w.set_label("w0", "b");
        section("nothing of the job is started there",
                [&]
                {
                    w.run_for(10'000);
                    expect_no_violations(w);
                    expect(w.starts("urgent") == 0, "no start");
                });
        section("it runs on a worker with the label",
                [&]
                {
                    w.add_worker("w1", "r1", whole);
                    w.run_for(10'000);
                    expect(w.phase("urgent") == job_phase::completed, "done");
                    expect_no_violations(w);
                });
    }

    /// \returns how often there were reservations.
    static int run_seed(unsigned seed)
    {
        std::mt19937 random(seed);
        auto const below = [&](int n)
        { return std::uniform_int_distribution<>(0, n - 1)(random); };
        dispatch_simulation w(seed, {0.02, 0.02, 0.02, 0.03});
        add_racks(w);
        int seen = 0;
        for (int i = 0; i < 30; ++i)
        {
            auto const worker = worker_name(below(workers));
            auto const job = "job" + std::to_string(i);
            switch (below(6))
            {
            case 0:
                w.crash_worker(worker);
                break;
            case 1:
                w.remove_worker(worker);
                seen += run_and_check(w, below(2) == 0 ? 500 : 70'000);
                w.add_worker(worker, "r1", {64'000, 128'000, 8});
                break;
            case 2:
                w.submit(job, "urgent", gang_job(1 + below(3), 8),
                         {500 + below(3'000)});
                break;
            default:
                w.submit(job, "batch", simple_job(16, 4), {8'000});
            }
            seen += run_and_check(w, 100 + below(1'500));
        }
        auto const& v = w.violations();
        expect(v.empty(), v.empty() ? "" : v.front().text);
        return seen;
    }

    static int run_and_check(dispatch_simulation& w, milliseconds ms)
    {
        int seen = 0;
        for (milliseconds passed = 0; passed < ms; passed += check_ms)
        {
            w.run_for(check_ms);
            auto& d = w.leader();
            seen += d.reservations() > 0 ? 1 : 0;
            for (int i = 0; i < workers; ++i)
                if (auto const* view = d.find_worker(worker_name(i)))
                    check(view->reserved, d.reservations() > 0);
        }
        return seen;
    }

    static void check(resources const& reserved, bool any)
    {
        expect(reserved.millicores >= 0 && reserved.memory_mb >= 0 &&
                   reserved.accelerators >= 0,
               "reserved capacity is not negative");
        expect(any || reserved == resources{},
               "without a reservation nothing is reserved");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_reservations);

} // namespace
