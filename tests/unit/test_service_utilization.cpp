/// \file
/// What logs and metrics tell of the room and of work that waits for it.

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
    CPPUNIT_TEST(idle_room_and_full_room_are_told_apart);
    CPPUNIT_TEST(spread_gangs_are_counted);
    CPPUNIT_TEST(gauges_have_a_series_for_each_priority);
    CPPUNIT_TEST_SUITE_END();

public:
    void idle_room_and_full_room_are_told_apart()
    {
        dispatch_simulation w(31);
        add_racks(w);
        w.submit("batch", "batch", simple_job(80, 1), {20'000});
        w.run_for(2'000);
        auto const full = w.leader().utilization().at("service");
        expect(full.capacity == 64, "of all workers");
        expect(full.free == 0, "full");
        expect(full.priorities.at(2).held == 64, "of low priority");
        expect(full.priorities.at(2).no_room == 1, "its step waits for room");
        expect(full.priorities.at(2).kept_out == 0, "and for nothing else");
        section("room that is kept for urgent work",
                [&]
                {
                    w.submit("urgent", "urgent", simple_job(8, 8), {500});
                    w.run_for(2'500);
                    auto const kept = w.leader().utilization().at("service");
                    expect(kept.free > 0, "is free");
                    expect(kept.headroom > 0, "and counted");
                    expect(kept.priorities.at(2).kept_out == 1,
                           "the step is kept out");
                });
    }

    void spread_gangs_are_counted()
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
               "both members");
    }

    void gauges_have_a_series_for_each_priority()
    {
        jasminetrack::entry::dispatch_metrics f;
        f.utilization["s"].capacity = 384;
        f.utilization["s"].priorities[2].kept_out = 5;
        auto const text = jasminetrack::entry::gauges_text(f, 40);
        auto const has = [&](char const* line)
        { return text.find(line) != std::string::npos; };
        expect(has("jasminetrack_accelerators{service=\"s\","
                   "state=\"capacity\"} 384"),
               "states");
        expect(has("jasminetrack_kept_out_steps{priority=\"2\","
                   "service=\"s\"} 5"),
               "priorities");
        expect(has("jasminetrack_log_age_ms 40"), "the process");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_service_utilization);

} // namespace
