/// \file
/// Random mixes of crashing and sound jobs, workers that crash or are cut off,
/// changes of dispatcher and outages of the log.

#include "crashing_jobs.hpp"
#include "small_jobs.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>
#include <random>

namespace
{

using namespace support;

class test_random_crashes : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_random_crashes);
    CPPUNIT_TEST(random_crashes_violate_no_invariant);
    CPPUNIT_TEST_SUITE_END();

public:
    void random_crashes_violate_no_invariant()
    {
        auto const first_seed = from_environment("JASMINETRACK_SEED", 1);
        auto const seeds = from_environment("JASMINETRACK_SEEDS", 100);
        for (auto seed = first_seed; seed < first_seed + seeds; ++seed)
            section("seed " + std::to_string(seed),
                    [&] { run_random_crashes(seed); });
    }

private:
    static unsigned from_environment(char const* name, unsigned fallback)
    {
        auto const* text = std::getenv(name);
        return text ? static_cast<unsigned>(std::atoi(text)) : fallback;
    }

    static void run_random_crashes(unsigned seed)
    {
        std::mt19937 random(seed);
        auto const below = [&](int n)
        { return std::uniform_int_distribution<>(0, n - 1)(random); };
        dispatch_simulation w(seed, {0.02, 0.02, 0.02, 0});
        if (std::getenv("JASMINETRACK_TRACE"))
            w.trace_to(&std::cerr);
        w.set_comeback(below(2) == 0 ? comeback::same_id : comeback::new_id);
        add_racks(w);
        int sound = 0;
        int crashing = 0;
        for (int i = 0; i < 40; ++i)
        {
            auto const worker = name_of(below(8));
            switch (below(12))
            {
            case 0:
                w.take_over();
                break;
            case 1:
                w.kill_leader();
                w.run_for(below(4'000));
                w.take_over();
                break;
            case 2:
                w.disconnect_worker(worker, true);
                break;
            case 3:
                w.disconnect_worker(worker, false);
                break;
            case 4:
                w.crash_for_a_while(worker);
                break;
            case 5:
                w.log_down(true);
                w.run_for(below(4'000));
                w.log_down(false);
                break;
            case 6:
            case 7:
                w.submit("crashing" + std::to_string(crashing++), "batch",
                         below(2) == 0 ? gang_job(3, 2) : simple_job(3, 1),
                         crashing_task(below(3)));
                break;
            default:
                w.submit("sound" + std::to_string(sound++),
                         below(3) == 0 ? "urgent" : "batch",
                         below(2) == 0 ? gang_job(1 + below(4), 2)
                                       : simple_job(1 + below(8), 1),
                         {200 + below(6'000)});
            }
            w.run_for(below(2'000));
        }
        for (int i = 0; i < 8; ++i)
            w.disconnect_worker(name_of(i), false);
        w.run_for(240'000);
        expect_no_violations(w);
        expect_completed(w, "sound", sound);
        for (int i = 0; i < crashing; ++i)
            expect(w.phase("crashing" + std::to_string(i)) == job_phase::failed,
                   "crashing" + std::to_string(i) + " is given up");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_random_crashes);

} // namespace
