/// \file
/// Orders to an earlier process of a worker, which may be carried out late by
/// its next process under the same id. Guards against two runs of one task and
/// a run after an end that was noted (TWICE), and against work that stands
/// still meanwhile (LOST).

#include "manual_dispatcher.hpp"
#include "section.hpp"

#include <jasminetrack/tasks/fencing.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace support;

constexpr milliseconds second_ms = 1'000;

class test_fencing : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_fencing);
    CPPUNIT_TEST(a_start_to_a_lost_worker_is_refused_by_its_next_process);
    CPPUNIT_TEST(a_process_found_by_its_answer_is_fenced);
    CPPUNIT_TEST(a_renewal_to_an_earlier_process_delays_none_to_the_next);
    CPPUNIT_TEST(a_refused_order_to_an_earlier_process_deposes_nobody);
    CPPUNIT_TEST(a_worker_that_was_forgotten_gets_no_token_twice);
    CPPUNIT_TEST(epochs_leave_room_for_tokens);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against two runs of one task (TWICE, review/7): the worker left
    /// the list and was back while the order was still under way.
    void a_start_to_a_lost_worker_is_refused_by_its_next_process()
    {
        manual_dispatcher h;
        auto const late = lose_start_to_w1(h);
        h.unresponsive.insert("w1");
        h.run_for(4 * second_ms);
        h.unlist_worker("w1");
        h.run_for(3 * second_ms);
        section("the task is started elsewhere when the lease has ended",
                [&]
                {
                    expect(h.starts.size() == 2 && h.starts[1].worker == "w2",
                           "a start on w2");
                });
        h.unresponsive.clear();
        h.add_worker("w1", 2);
        h.run_for(manual_dispatcher::step_ms);
        section("the first order to the next process fences it",
                [&]
                {
                    expect(h.deliver_late(late) == call_result::fenced,
                           "the late order is refused");
                });
        h.run_for(2 * second_ms);
        expect(h.starts.size() == 2 && h.stops.empty(),
               "the task runs on where it is");
    }

    void a_process_found_by_its_answer_is_fenced()
    {
        manual_dispatcher h;
        auto const late = lose_start_to_w1(h);
        h.restart_unlisted("w1", 2);
        h.run_for(200);
        expect(h.view_of("w1").info.incarnation == 2, "it is found");
        expect(h.deliver_late(late) == call_result::fenced, "and fenced");
    }

    /// The call to the earlier process fails only after its time-out.
    void a_renewal_to_an_earlier_process_delays_none_to_the_next()
    {
        manual_dispatcher h;
        auto const late = lose_start_to_w1(h);
        h.held.insert("w1");
        h.run_for(second_ms);
        auto const sent = h.renewals.at("w1").size();
        h.held.clear();
        h.add_worker("w1", 2);
        h.run_for(manual_dispatcher::step_ms);
        expect(h.renewals.at("w1").size() == sent + 1, "it is sent at once");
        expect(h.renewals.at("w1").back().wait_ms == 0,
               "and does not wait at the worker");
        expect(h.deliver_late(late) == call_result::fenced, "it fences");
    }

    void a_refused_order_to_an_earlier_process_deposes_nobody()
    {
        manual_dispatcher h;
        auto const late = lose_start_to_w1(h);
        h.add_worker("w1", 2);
        h.run_for(200);
        auto const refused = [&](std::int64_t token)
        {
            h.reply(start_reply{"w1", late.run, call_result::fenced, 0, token});
            h.reply(stop_reply{"w1", late.run, call_result::fenced, token});
        };
        refused(late.token);
        section("as the dispatcher has used a higher token itself",
                [&] { expect(!h.deposed(), "it goes on"); });
        refused(h.renewals.at("w1").back().token);
        section("a refusal of its newest token does",
                [&] { expect(h.deposed(), "another has the role"); });
    }

    void a_worker_that_was_forgotten_gets_no_token_twice()
    {
        manual_dispatcher h;
        h.add_worker("w1", 1);
        h.run_for(second_ms);
        h.add_worker("w1", 2);
        h.run_for(second_ms);
        auto const newest = h.renewals.at("w1").back().token;
        h.unresponsive.insert("w1");
        h.unlist_worker("w1");
        h.run_for(90 * second_ms);
        h.unresponsive.clear();
        h.add_worker("w1", 3);
        h.run_for(second_ms);
        expect(h.renewals.at("w1").back().token > newest, "a higher one");
    }

    void epochs_leave_room_for_tokens()
    {
        expect(next_epoch(0) == tokens_per_epoch, "the first epoch");
        expect(next_epoch(next_epoch(0)) == 2 * tokens_per_epoch,
               "the next one is above all tokens of the one before");
        section("an epoch of an earlier version, which counted by one",
                []
                {
                    expect(next_epoch(7) == tokens_per_epoch, "is exceeded");
                    expect(next_epoch(tokens_per_epoch + 1) ==
                               2 * tokens_per_epoch,
                           "also after one of this version");
                });
    }

private:
    /// \returns a start on w1 that gets no answer; w2 is free as well.
    static start_order lose_start_to_w1(manual_dispatcher& h)
    {
        h.add_worker("w1", 1);
        h.run_for(30 * second_ms);
        h.answers_starts = false;
        h.submit("a", "batch");
        h.run_for(200);
        h.answers_starts = true;
        expect(h.starts.size() == 1, "the start was sent and not answered");
        h.add_worker("w2", 1);
        return h.starts.front();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_fencing);

} // namespace
