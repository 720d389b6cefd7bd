/// \file
/// Tests the utilization of a service as logs and metrics report it.

#include "dispatch_simulation.hpp"
#include "section.hpp"
#include "small_jobs.hpp"

#include <jasminetrack/entry/gauges.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace support;

class test_service_utilization : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_service_utilization);
    CPPUNIT_TEST(utilization_distinguishes_full_from_kept_free);
    CPPUNIT_TEST(gangs_that_span_racks_are_counted);
    CPPUNIT_TEST(gauges_have_a_series_for_each_priority);
    CPPUNIT_TEST_SUITE_END();

public:
    void utilization_distinguishes_full_from_kept_free()
    {
        dispatch_simulation w(31);
        add_racks(w);
        w.submit("batch", "batch", simple_job(80, 1), {20'000});
        w.run_for(2'000);
        auto const full = w.leader().utilization().at("service");
        expect(full.capacity == 64, "the sum of all workers");
        expect(full.free == 0, "no accelerator is free");
        expect(full.priorities.at(2).held == 64, "the low priority holds all");
        expect(full.priorities.at(2).no_room == 1,
               "its step waits for capacity");
        expect(full.priorities.at(2).kept_out == 0,
               "its step is not held back");
        section("headroom for urgent work",
                [&]
                {
                    w.submit("urgent", "urgent", simple_job(8, 8), {500});
                    w.run_for(2'500);
                    auto const kept = w.leader().utilization().at("service");
                    expect(kept.free > 0, "accelerators are free");
                    expect(kept.headroom > 0, "the headroom is reported");
                    expect(kept.priorities.at(2).kept_out == 1,
                           "the step is held back");
                });
    }

    void gangs_that_span_racks_are_counted()
    {
        dispatch_simulation w(32);
        add_racks(w);
        for (auto const* id : {"w1", "w2", "w3", "w5", "w6", "w7"})
            w.remove_worker(id);
        auto gang = gang_job(2, 8);
        gang.steps[0].same_rack = true;
        w.submit("gang", "urgent", gang, {5'000});
        w.run_for(2'500);
        expect(w.leader().utilization().at("service").spread == 16,
               "all accelerators of both members");
    }

    void gauges_have_a_series_for_each_priority()
    {
        jasminetrack::entry::dispatch_metrics f;
        f.lost_runs = 7;
        f.given_up_jobs = 2;
        f.utilization["s"].capacity = 384;
        f.utilization["s"].lent = 40;
        f.utilization["s"].priorities[2].kept_out = 5;
        f.utilization["s"].speeds[worker_speed::slower] = 3;
        auto const text = jasminetrack::entry::gauges_text(f, 40);
        auto const has = [&](char const* line)
        { return text.find(line) != std::string::npos; };
        expect(has("jasminetrack_accelerators{service=\"s\","
                   "state=\"capacity\"} 384"),
               "a series for each state");
        expect(has("jasminetrack_accelerators{service=\"s\","
                   "state=\"lent\"} 40"),
               "what is lent within the headroom");
        expect(has("jasminetrack_kept_out_steps{priority=\"2\","
                   "service=\"s\"} 5"),
               "a series for each priority");
        expect(has("jasminetrack_worker_speeds{service=\"s\","
                   "speed=\"slower\"} 3"),
               "a series for each speed");
        expect(has("jasminetrack_log_age_ms 40"), "a series of the process");
        expect(has("jasminetrack_lost_runs_total 7"), "lost runs");
        expect(has("jasminetrack_given_up_jobs_total 2"), "jobs given up");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_service_utilization);

} // namespace
