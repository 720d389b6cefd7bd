/// \file
/// The dispatcher and a worker that starts again under its id, reply by reply.

#include "manual_dispatcher.hpp"
#include "section.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace support;

/// An order without an answer is carried out 12 s later at the most.
constexpr milliseconds late_order_most_ms = 12'000;

class test_worker_restarts : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_worker_restarts);
    CPPUNIT_TEST(nothing_starts_while_late_orders_may_come);
    CPPUNIT_TEST(a_start_on_its_way_may_reach_the_next_life);
    CPPUNIT_TEST_SUITE_END();

public:
    /// A late renewal may acknowledge ends of the new life unseen: their
    /// numbers start anew.
    void nothing_starts_while_late_orders_may_come()
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
        section("after an order without an answer",
                [&]
                {
                    h.run_for(late_order_most_ms - manual_dispatcher::step_ms);
                    expect(h.starts.empty(), "not while it may come");
                });
        section("then it is used again",
                [&]
                {
                    h.run_for(3'000);
                    expect(h.starts.size() == 1, "started");
                    expect(h.now - unanswered >= late_order_most_ms, "late");
                });
        section("a life that left no order open is used at once",
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

    void a_start_on_its_way_may_reach_the_next_life()
    {
        manual_dispatcher h;
        h.add_worker("w1", 1);
        h.run_for(500);
        h.answers_starts = false;
        h.submit("a", "batch");
        h.run_for(200);
        h.answers_starts = true;
        expect(h.starts.size() == 1, "sent, and not answered");
        auto const first = h.starts.front();
        h.add_worker("w2", 1);
        h.add_worker("w1", 2);
        section("so the task is not started elsewhere",
                [&]
                {
                    h.run_for(3'000);
                    expect(h.starts.size() == 1, "no second start");
                });
        section("but stopped at the new life",
                [&]
                {
                    expect(!h.stops.empty(), "a stop");
                    expect(h.stops.front().run == first.run, "of that run");
                });
        section("and started anew once it can not come any more",
                [&]
                {
                    h.run_for(15'000);
                    expect(h.starts.size() == 2, "started again");
                    expect(h.starts.back().run.run > first.run.run, "higher");
                });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_worker_restarts);

} // namespace
