/// \file
/// Tests the dispatcher with a worker that restarts under the same id. Guards
/// against two runs of one task (TWICE) and starts beyond a capacity (LIMIT).

#include "manual_dispatcher.hpp"
#include "section.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace support;

/// An order without an answer is carried out at most 12 s later.
constexpr milliseconds max_late_order_ms = 12'000;

class test_worker_restarts : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_worker_restarts);
    CPPUNIT_TEST(no_start_after_a_restart_while_late_orders_may_arrive);
    CPPUNIT_TEST(unanswered_start_may_reach_the_next_incarnation);
    CPPUNIT_TEST(no_start_by_the_capacity_of_an_earlier_incarnation);
    CPPUNIT_TEST(a_renewal_that_is_lost_over_a_restart_is_waited_for);
    CPPUNIT_TEST_SUITE_END();

public:
    /// A late renewal to the earlier incarnation could acknowledge ends of the
    /// new one that the dispatcher has not seen, as their numbers start again.
    void no_start_after_a_restart_while_late_orders_may_arrive()
    {
        manual_dispatcher h;
        h.add_worker("w1", 1);
        h.run_for(500);
        h.unresponsive.insert("w1");
        h.run_for(1'000);
        auto const unanswered = h.now;
        h.unresponsive.clear();
        h.add_worker("w1", 2);
        h.submit("a", "batch");
        section("it waits after an order without an answer",
                [&]
                {
                    h.run_for(max_late_order_ms - manual_dispatcher::step_ms);
                    expect(h.starts.empty(),
                           "no start while the order may still arrive");
                });
        section("it starts runs again afterwards",
                [&]
                {
                    h.run_for(3'000);
                    expect(h.starts.size() == 1, "started");
                    expect(h.now - unanswered >= max_late_order_ms,
                           "not earlier than the wait");
                });
        section("it does not wait if every order was answered",
                [&]
                {
                    manual_dispatcher other;
                    other.add_worker("w1", 1);
                    other.run_for(500);
                    other.add_worker("w1", 2);
                    other.submit("a", "batch");
                    other.run_for(1'000);
                    expect(other.starts.size() == 1, "started");
                });
    }

    void unanswered_start_may_reach_the_next_incarnation()
    {
        manual_dispatcher h;
        h.add_worker("w1", 1);
        h.run_for(500);
        h.answers_starts = false;
        h.submit("a", "batch");
        h.run_for(200);
        h.answers_starts = true;
        expect(h.starts.size() == 1, "the start was sent and not answered");
        auto const first = h.starts.front();
        h.add_worker("w2", 1);
        h.add_worker("w1", 2);
        section("the task is not started elsewhere",
                [&]
                {
                    h.run_for(3'000);
                    expect(h.starts.size() == 1, "no second start");
                });
        section("the run is stopped at the new incarnation",
                [&]
                {
                    expect(!h.stops.empty(), "a stop was sent");
                    expect(h.stops.front().run == first.run,
                           "the stop names that run");
                });
        section("the task is started again once the start can no longer arrive",
                [&]
                {
                    h.run_for(15'000);
                    expect(h.starts.size() == 2, "a second start was sent");
                    expect(h.starts.back().run.run > first.run.run,
                           "its run number is higher");
                });
    }

    void no_start_by_the_capacity_of_an_earlier_incarnation()
    {
        manual_dispatcher h;
        h.add_worker("w1", 1);
        h.run_for(500);
        h.restart_unlisted("w1", 2);
        h.run_for(500);
        h.submit("a", "batch");
        section("it may be of another kind until it is listed",
                [&]
                {
                    h.run_for(3'000);
                    expect(h.starts.empty(), "no start");
                });
        section("then it is used",
                [&]
                {
                    h.add_worker("w1", 2);
                    h.run_for(1'000);
                    expect(h.starts.size() == 1, "started");
                });
    }

    /// The renewal may acknowledge ends of the next incarnation unseen.
    void a_renewal_that_is_lost_over_a_restart_is_waited_for()
    {
        manual_dispatcher h;
        h.add_worker("w1", 1);
        h.run_for(500);
        h.held.insert("w1");
        h.run_for(500);
        h.restart_unlisted("w1", 2);
        h.add_worker("w1", 2);
        h.held.clear();
        renew_reply lost;
        lost.worker = "w1";
        h.reply(lost);
        h.submit("a", "batch");
        section("nothing is started while it may arrive",
                [&]
                {
                    h.run_for(max_late_order_ms - 1'000);
                    expect(h.starts.empty(), "no start");
                });
        section("then the worker is used",
                [&]
                {
                    h.run_for(3'000);
                    expect(h.starts.size() == 1, "started");
                });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_worker_restarts);

} // namespace
