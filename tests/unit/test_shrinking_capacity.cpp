/// \file
/// A worker whose capacity shrinks, and grows again, while it runs tasks.

#include "manual_dispatcher.hpp"
#include "section.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace support;

constexpr milliseconds second_ms = 1'000;
constexpr resources half{4'000, 4'000, 4};
constexpr resources whole{8'000, 8'000, 8};

bool has(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

class test_shrinking_capacity : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_shrinking_capacity);
    CPPUNIT_TEST(no_start_exceeds_the_capacity_that_is_left);
    CPPUNIT_TEST(a_placement_that_waits_for_the_log_is_checked_again);
    CPPUNIT_TEST(a_task_without_accelerators_counts_as_well);
    CPPUNIT_TEST(a_list_that_was_not_read_for_long_is_not_relied_on);
    CPPUNIT_TEST(a_start_is_not_repeated_beyond_the_capacity);
    CPPUNIT_TEST_SUITE_END();

public:
    void no_start_exceeds_the_capacity_that_is_left()
    {
        manual_dispatcher h;
        h.add_worker("w1", 1);
        h.run_for(500);
        h.submit("a", "batch", half);
        h.submit("b", "batch", half);
        h.run_for(200);
        expect(h.starts.size() == 2, "both fit");
        h.set_capacity("w1", half);
        h.submit("c", "batch", half);
        section("running tasks go on",
                [&] { expect(h.stops.empty(), "nothing is stopped"); });
        section("a task that is being stopped still counts",
                [&]
                {
                    h.cancel("a");
                    h.run_for(5'000);
                    expect(h.starts.size() == 2, "no start");
                    expect(!h.stops.empty(), "its stop was sent");
                });
        section("the rest is full",
                [&]
                {
                    h.end("w1", "a");
                    h.run_for(5'000);
                    expect(h.starts.size() == 2, "no start");
                });
        section("it is used once it is back",
                [&]
                {
                    h.set_capacity("w1", whole);
                    h.run_for(1'000);
                    expect(h.starts.size() == 3, "started");
                });
    }

    void a_placement_that_waits_for_the_log_is_checked_again()
    {
        manual_dispatcher h;
        h.add_worker("w1", 1);
        h.run_for(500);
        h.stores = false;
        h.submit("a", "batch", whole);
        h.run_for(6'000);
        expect(h.starts.empty(), "the placement is not stored");
        h.set_capacity("w1", half);
        h.run_for(6'000);
        h.store_again();
        h.run_for(1'000);
        expect(h.starts.empty(), "it does not fit any more");
        h.set_capacity("w1", whole);
        h.run_for(1'000);
        expect(h.starts.size() == 1, "it is started when it fits again");
    }

    void a_list_that_was_not_read_for_long_is_not_relied_on()
    {
        manual_dispatcher h;
        h.add_worker("w1", 1);
        h.run_for(500);
        h.list_readable = false;
        h.run_for(dispatch_limits{}.unseen_change_ms);
        h.submit("a", "batch", half);
        section("no start while it cannot be read",
                [&]
                {
                    h.run_for(2'000);
                    expect(h.starts.empty(), "no start");
                });
        section("nor before the workers have reported again",
                [&]
                {
                    h.list_readable = true;
                    h.run_for(dispatch_limits{}.heartbeat_ms);
                    expect(h.starts.empty(), "no start");
                });
        section("then the task is started",
                [&]
                {
                    h.run_for(1'500);
                    expect(h.starts.size() == 1, "started");
                });
        section("a short gap delays nothing",
                [&]
                {
                    h.list_readable = false;
                    h.submit("b", "batch", half);
                    h.run_for(1'000);
                    expect(h.starts.size() == 2, "started");
                });
    }

    void a_task_without_accelerators_counts_as_well()
    {
        manual_dispatcher h;
        h.add_worker("w1", 1);
        h.run_for(500);
        h.submit("a", "batch", whole);
        h.run_for(200);
        h.set_capacity("w1", {9'000, 9'000, 4});
        h.submit("b", "batch", {500, 500, 0});
        h.run_for(5'000);
        expect(h.starts.size() == 1, "the worker is over its capacity");
        expect(!has(h.newest("unit.place"), "each=0"),
               "it is not placed there only to be withdrawn");
    }

    void a_start_is_not_repeated_beyond_the_capacity()
    {
        manual_dispatcher h;
        h.add_worker("w1", 1);
        h.run_for(500);
        h.answers_starts = false;
        h.submit("a", "batch", whole);
        h.run_for(200);
        expect(h.starts.size() == 1, "the start was sent");
        auto const run = h.starts.front().run;
        section("it is repeated while its task fits",
                [&]
                {
                    h.reply(start_reply{"w1", run, call_result::no_answer, 0});
                    h.run_for(100);
                    expect(h.starts.size() == 2, "sent again");
                });
        section("it is not once the capacity has shrunk",
                [&]
                {
                    h.set_capacity("w1", half);
                    h.reply(start_reply{"w1", run, call_result::no_answer, 0});
                    h.run_for(second_ms);
                    expect(h.starts.size() == 2, "not sent again");
                });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_shrinking_capacity);

} // namespace
