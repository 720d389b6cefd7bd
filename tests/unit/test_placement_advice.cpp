/// \file
/// Queues whose policy lets only some workers run a step.

#include "dispatch_simulation.hpp"
#include "manual_dispatcher.hpp"
#include "section.hpp"
#include "small_jobs.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace support;

configuration advised_queue()
{
    auto c = two_queues();
    ++c.version;
    for (auto& q : c.queues)
    {
        q.advised = true;
        q.advice_ms = 100;
        q.advice_each_ms = 5;
    }
    return c;
}

class test_placement_advice : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_placement_advice);
    CPPUNIT_TEST(a_ticket_holds_for_one_life_and_a_time);
    CPPUNIT_TEST(one_call_is_made_at_a_time);
    CPPUNIT_TEST(a_call_that_failed_is_made_again);
    CPPUNIT_TEST(steps_run_where_the_policy_lets_them);
    CPPUNIT_TEST(tickets_that_expire_are_asked_for_again);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_ticket_holds_for_one_life_and_a_time()
    {
        placement_advice a;
        step_ref const step{"job", 0, 1};
        advice_order const order{step, {"w1", "w2"}, 0};
        a.on_request_sent(order, {{"w1", 5}, {"w2", 6}});
        a.on_reply(1'000, {step, call_result::done, {{"w1", "t"}}, 3'000});
        expect(a.ticket(2'000, step, "w1", 5) &&
                   *a.ticket(2'000, step, "w1", 5) == "t",
               "valid");
        expect(!a.ticket(2'000, step, "w1", 7), "not for another life");
        expect(!a.ticket(4'000, step, "w1", 5), "expired");
        expect(!a.ticket(2'000, {"job", 0, 2}, "w1", 5), "another step");
        expect(a.is_refused(step, "w2"), "the other may not run it");
        a.erase_job("job");
        expect(!a.ticket(2'000, step, "w1", 5) && !a.is_refused(step, "w2"),
               "forgotten with its job");
    }

    void one_call_is_made_at_a_time()
    {
        manual_dispatcher h(advised_queue());
        h.add_worker("w1", 1);
        h.add_worker("w2", 1);
        h.run_for(500);
        h.submit("a", "batch");
        h.submit("b", "batch");
        h.run_for(2'000);
        expect(h.advice_requests.size() == 1, "the second waits for its turn");
        expect(h.advice_requests[0].service_time_ms == 110,
               "time for two workers");
        expect(h.starts.empty(), "nothing starts without a ticket");
        h.answer_advice({h.advice_requests[0].step,
                         call_result::done,
                         {{"w1", "t1"}},
                         3'000});
        h.run_for(200);
        expect(h.starts.size() == 1 && h.starts[0].ticket == "t1", "started");
        expect(h.advice_requests.size() == 2, "then the other step asks");
    }

    void a_call_that_failed_is_made_again()
    {
        manual_dispatcher h(advised_queue());
        h.add_worker("w1", 1);
        h.run_for(500);
        h.submit("a", "batch");
        h.run_for(100);
        h.answer_advice(
            {h.advice_requests[0].step, call_result::unhealthy, {}, 0});
        h.run_for(100);
        expect(h.advice_requests.size() == 1, "not at once");
        h.run_for(1'000);
        expect(h.advice_requests.size() == 2, "but soon");
    }

    void steps_run_where_the_policy_lets_them()
    {
        dispatch_simulation w(31);
        add_racks(w);
        w.configure(advised_queue());
        for (auto const* id : {"w0", "w1", "w2", "w4", "w6"})
            w.forbid_worker(id);
        w.submit("single", "batch", simple_job(12, 4));
        w.submit("gang", "urgent", gang_job(2, 8));
        w.run_for(15'000);
        expect(w.phase("single") == job_phase::completed, "single tasks");
        expect(w.phase("gang") == job_phase::completed, "a gang");
        expect(w.violations().empty(), "no rule broken");
    }

    void tickets_that_expire_are_asked_for_again()
    {
        dispatch_simulation w(32, {0, 0.1, 0, 0});
        add_racks(w);
        w.configure(advised_queue());
        w.submit("long", "batch", simple_job(24, 8), {4'000});
        w.run_for(40'000);
        expect(w.phase("long") == job_phase::completed,
               "three rounds of tasks, longer than a ticket is valid");
        expect(w.violations().empty(), "no rule broken");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_placement_advice);

} // namespace
