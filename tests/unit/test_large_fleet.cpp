/// \file
/// Load of the dispatcher by workers that have nothing to do. In a large fleet
/// their renewals alone would take a VM's processor, and starts would be late.

#include "manual_dispatcher.hpp"
#include "section.hpp"

#include <jasminetrack/tasks/due_queue.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace support;

constexpr int fleet_size = 600;
constexpr milliseconds second_ms = 1'000;

std::string worker_name(int number)
{
    return "w" + std::to_string(1'000 + number);
}

class test_large_fleet : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_large_fleet);
    CPPUNIT_TEST(due_keys_are_taken_in_order);
    CPPUNIT_TEST(idle_workers_are_renewed_at_a_limited_rate);
    CPPUNIT_TEST(idle_worker_of_a_large_fleet_takes_a_job);
    CPPUNIT_TEST(idle_worker_that_is_silent_gets_no_more_starts);
    CPPUNIT_TEST(new_dispatcher_does_not_contact_all_idle_workers_at_once);
    CPPUNIT_TEST_SUITE_END();

    static void fill(manual_dispatcher& h, int workers)
    {
        for (int i = 0; i < workers; ++i)
            h.add_worker(worker_name(i), 1);
    }

    static std::size_t count_renewals(manual_dispatcher const& h)
    {
        std::size_t count = 0;
        for (auto const& [worker, orders] : h.renewals)
            count += orders.size();
        return count;
    }

public:
    void due_keys_are_taken_in_order()
    {
        due_queue q;
        q.set("late", 30);
        q.set("second", 20);
        q.set("first", 40);
        q.set("first", 10);
        q.set("erased", 5);
        q.erase("erased");
        q.erase("unknown");
        expect(q.due("first") == 10 && !q.due("erased"), "times");
        expect(q.take_due(9).empty(), "nothing is due yet");
        expect(q.take_due(20) == std::vector<std::string>{"first", "second"},
               "due keys, earliest first");
        expect(q.take_due(20).empty() && !q.due("first"), "taken once");
        expect(q.take_due(30) == std::vector<std::string>{"late"}, "the rest");
    }

    void idle_workers_are_renewed_at_a_limited_rate()
    {
        constexpr milliseconds span_ms = 12 * second_ms;
        constexpr std::size_t max_a_second = 200;
        manual_dispatcher h;
        fill(h, fleet_size);
        h.run_for(4 * second_ms);
        h.renewals.clear();
        h.run_for(span_ms);
        auto const seconds = static_cast<std::size_t>(span_ms / second_ms);
        auto const count = count_renewals(h);
        expect(count <= max_a_second * seconds,
               std::to_string(count) + " renewals");
        expect(h.renewals.size() == fleet_size, "every worker is renewed");
    }

    void idle_worker_of_a_large_fleet_takes_a_job()
    {
        manual_dispatcher h;
        fill(h, fleet_size);
        h.run_for(7 * second_ms);
        h.renewals.clear();
        h.submit("a", "batch");
        h.run_for(200);
        expect(h.starts.size() == 1, "started at once");
        auto const worker = h.starts[0].worker;
        section("its lease is renewed at once",
                [&]
                {
                    expect(!h.renewals[worker].empty() &&
                               h.renewals[worker].back().until_ms >
                                   h.starts[0].until_ms,
                           "the lease is longer than the start's");
                });
        section("the worker is renewed on without pauses",
                [&]
                {
                    h.run_for(second_ms);
                    expect(h.renewals[worker].back().wait_ms > 0,
                           "renewals wait for an end");
                    for (int percent = 2; percent < 22; ++percent)
                    {
                        h.percents[worker] = percent;
                        h.run_for(second_ms);
                    }
                    expect(h.stops.empty() && h.starts.size() == 1,
                           "the run goes on");
                });
    }

    void idle_worker_that_is_silent_gets_no_more_starts()
    {
        manual_dispatcher h;
        fill(h, fleet_size);
        h.run_for(7 * second_ms);
        for (int i = 0; i < fleet_size / 2; ++i)
            h.unresponsive.insert(worker_name(i));
        h.run_for(4 * second_ms);
        h.submit("a", "batch", fleet_size / 2);
        h.run_for(200);
        expect(h.starts.size() == fleet_size / 2, "the gang started");
        for (auto const& start : h.starts)
            expect(h.unresponsive.count(start.worker) == 0,
                   "on a worker that answers");
    }

    /// Thousands of calls at once take seconds on a small VM; their answers
    /// would come after the time limit.
    void new_dispatcher_does_not_contact_all_idle_workers_at_once()
    {
        constexpr std::size_t max_at_once = 150;
        dispatcher d(7, {}, 100'000, nullptr);
        d.set_configuration(two_queues());
        for (int i = 0; i < fleet_size; ++i)
        {
            worker_info w;
            w.id = worker_name(i);
            w.address = "10.0.0.1:1";
            w.service = "service";
            w.capacity = {8'000, 8'000, 8};
            d.put_worker(100'000, w);
        }
        std::set<std::string> contacted;
        milliseconds now = 100'000;
        for (; contacted.size() < fleet_size && now < 105'000; now += 50)
        {
            d.tick(now, now);
            std::vector<renew_order> orders;
            for (auto const& a : d.take_actions())
                if (auto const* o = std::get_if<renew_order>(&a);
                    o && o->until_ms == 0)
                    orders.push_back(*o);
            expect(orders.size() <= max_at_once, "a group at a time");
            for (auto const& o : orders)
            {
                contacted.insert(o.worker);
                renew_reply r;
                r.worker = o.worker;
                r.token = o.token;
                r.result = call_result::done;
                r.clock_ms = now;
                d.on_renew(now, r);
            }
        }
        expect(contacted.size() == fleet_size, "all are contacted in the end");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_large_fleet);

} // namespace
