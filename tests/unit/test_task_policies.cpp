/// \file
/// The order of the queue, room left for urgent work, and who dispatches.

#include "section.hpp"

#include <jasminetrack/tasks/headroom.hpp>
#include <jasminetrack/tasks/leadership.hpp>
#include <jasminetrack/tasks/least_share.hpp>
#include <jasminetrack/tasks/progress.hpp>
#include <jasminetrack/tasks/queue_order.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace jasminetrack::tasks;
using support::expect;
using support::section;

class test_task_policies : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_task_policies);
    CPPUNIT_TEST(what_can_be_in_time_goes_first);
    CPPUNIT_TEST(a_priority_below_its_share_comes_after_urgent_work);
    CPPUNIT_TEST(lower_priorities_need_time_for_a_stop);
    CPPUNIT_TEST(lower_priorities_share_alike);
    CPPUNIT_TEST(the_objective_follows_the_longest_chain);
    CPPUNIT_TEST(room_is_left_for_urgent_work_that_comes_and_goes);
    CPPUNIT_TEST(a_silent_holder_is_succeeded);
    CPPUNIT_TEST(larger_vms_claim_first);
    CPPUNIT_TEST(progress_is_read_as_it_was_written);
    CPPUNIT_TEST_SUITE_END();

public:
    void what_can_be_in_time_goes_first()
    {
        ordering_key const urgent{0, 100, 1'000, 2'000};
        ordering_key const batch{2, 5'000, 1'000, 20'000};
        ordering_key const late{0, 2'500, 1'000, 2'000};
        ordering_key const lost{0, 9'000, 1'000, 2'000};
        expect(precedes(urgent, batch), "priority among those in time");
        expect(precedes(urgent, late), "in time before late");
        expect(precedes(late, batch), "late urgent work before others");
        expect(precedes(late, lost), "late before too late");
        expect(precedes(batch, lost), "whatever the priority");
        ordering_key const batch_late{2, 15'000, 1'000, 12'000};
        ordering_key const middle_late{1, 15'000, 1'000, 12'000};
        expect(precedes(batch, middle_late), "in time before late, too");
        expect(precedes(middle_late, batch_late), "then by priority");
        auto older = urgent;
        older.age_ms = 500;
        expect(precedes(older, urgent), "then by age");
    }

    void a_priority_below_its_share_comes_after_urgent_work()
    {
        ordering_key const urgent{0, 100, 1'000, 2'000};
        ordering_key const late{0, 2'500, 1'000, 2'000};
        ordering_key const middle{1, 100, 1'000, 9'000};
        ordering_key const poor{2, 9'500, 1'000, 10'000, true};
        expect(precedes(urgent, poor), "after urgent work");
        expect(precedes(poor, middle), "before a higher priority");
        expect(precedes(late, poor), "also if that is late");
        auto lost = poor;
        lost.age_ms = 60'000;
        expect(precedes(middle, lost), "unless it is of no more use");
    }

    void lower_priorities_need_time_for_a_stop()
    {
        ordering_key const safe{2, 8'500, 1'000, 10'000};
        ordering_key const tight{2, 8'501, 1'000, 10'000};
        expect(timeliness_of(safe) == timeliness::on_time,
               "can be stopped once");
        expect(timeliness_of(tight) == timeliness::late, "can not");
        ordering_key const urgent{0, 9'000, 1'000, 10'000};
        expect(timeliness_of(urgent) == timeliness::on_time, "is not stopped");
    }

    void lower_priorities_share_alike()
    {
        expect(least_share(384, 1) == 96, "a quarter");
        expect(least_share(384, 2) == 48, "of which each has a half");
        expect(least_share(384, 0) == 0, "nobody, nothing");
    }

    void the_objective_follows_the_longest_chain()
    {
        job_spec spec;
        spec.steps.resize(3);
        spec.steps[0].estimate_ms = 1'000;
        spec.steps[1].estimate_ms = 5'000;
        spec.steps[2].estimate_ms = 2'000;
        spec.steps[2].after = {0};
        expect(critical_paths_of(spec) ==
                   std::vector<milliseconds>{3'000, 5'000, 2'000},
               "chains");
        queue q;
        q.stretch = 1.5;
        q.latency_ms = 400;
        expect(objective_of(q, spec) == 7'900, "objective");
    }

    void room_is_left_for_urgent_work_that_comes_and_goes()
    {
        urgent_headroom h;
        h.record(0, 40);
        h.record(1'000, 10);
        expect(h.required(1'000) == 40, "a quarter more than a moment ago");
        h.record(2'000, 50);
        expect(h.required(2'000) == 12, "the quarter while it has its most");
        h.record(2'500, 0);
        expect(h.required(2'500) == 62, "its newest peak and a quarter");
        section("and not for ever",
                [&]
                {
                    h.record(20'000, 0);
                    expect(h.required(20'000) == 0, "forgotten");
                });
    }

    void larger_vms_claim_first()
    {
        section("one that knows no other goes by its own size",
                [&]
                {
                    claim_order const large("a", 0.5);
                    claim_order const small("a", 0.12);
                    expect(large.delay() + 300 < small.delay(), "by far");
                });
        section("then by rank, however many there are",
                [&]
                {
                    claim_order a("a", 0.25);
                    for (int i = 0; i < 40; ++i)
                        a.put("small" + std::to_string(i), 0.12);
                    expect(a.rank() == 0 && a.delay() == 0, "the largest");
                    a.put("large", 0.5);
                    expect(a.rank() == 1 && a.delay() > 0, "after a larger");
                });
        section("VMs of one size differ",
                [&]
                {
                    claim_order a("a", 0.25);
                    claim_order b("b", 0.25);
                    a.put("a", 0.25);
                    a.put("b", 0.25);
                    b.put("a", 0.25);
                    expect(a.rank() + b.rank() == 1, "one before the other");
                });
    }

    void a_silent_holder_is_succeeded()
    {
        leadership l("b", 0);
        expect(!l.should_claim(0), "not before the log was read");
        l.on_read(0, false);
        expect(l.should_claim(0), "nobody holds the role");
        l.on_record(100, {1, "a", false});
        expect(!l.should_claim(1'000), "a gave a sign of life");
        l.on_read(1'500, true);
        expect(!l.should_claim(2'000), "and another");
        expect(l.should_claim(4'000), "then none");
        section("not over a gap in reading",
                [&]
                {
                    l.on_read_failed(4'000);
                    expect(!l.should_claim(5'000), "the log is away");
                    l.on_read(6'000, false);
                    expect(!l.should_claim(6'100), "it is only just back");
                });
        section("at once after a resignation",
                [&]
                {
                    l.on_record(6'200, {1, "a", true});
                    expect(l.should_claim(6'200), "free");
                    l.on_claim_sent(6'200);
                    expect(!l.should_claim(6'300), "one claim at a time");
                    l.on_claim_stored(6'300, {2, "b", false});
                    expect(l.leading(), "leading");
                });
        l.on_record(9'000, {3, "c", false});
        expect(!l.leading(), "a higher epoch ends it");
    }

    void progress_is_read_as_it_was_written()
    {
        job_spec spec;
        spec.steps.resize(2);
        spec.steps[0].count = 3;
        spec.steps[1].count = 4;
        spec.steps[1].gang = true;
        auto p = initial_progress(spec);
        expect(p.units.size() == 4, "three tasks and one gang");
        auto& u = p.units.at({0, 1, 0});
        u.phase = unit_phase::active;
        u.run = 7;
        u.failures = 2;
        u.failed_run = 6;
        u.checkpoint = "c";
        u.places = {"w1", "", "w2", "w1"};
        p.begun = true;
        p.phase = job_phase::running;
        expect(decode_progress(encode(p), spec) == p, "the same");
        expect(decode_summary(encode(p)) ==
                   progress_summary{job_phase::running, true},
               "summary");
        expect(!decode_summary("x"), "bytes of others are refused");
        accepted_job job{"id", "queue", "team", 5, spec};
        expect(decode_job(encode(job)) == job, "jobs too");
        expect(!decode_job("garbage"), "and garbage is not one");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_task_policies);

} // namespace
