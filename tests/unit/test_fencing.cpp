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
    CPPUNIT_TEST(a_first_send_of_a_done_task_is_refused_by_the_next_process);
    CPPUNIT_TEST(a_task_of_a_worker_that_is_back_is_started_at_once);
    CPPUNIT_TEST(a_successor_starts_it_at_once_on_a_worker_that_is_back);
    CPPUNIT_TEST(a_gang_keeps_the_place_of_a_member_of_unknown_outcome);
    CPPUNIT_TEST(a_second_restart_runs_no_task_twice);
    CPPUNIT_TEST(a_successor_keeps_the_place_of_a_waiting_task);
    CPPUNIT_TEST(work_does_not_wait_for_a_worker_that_leaves);
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

    /// Guards against a run after an end that was noted (TWICE, review/9): only
    /// the repeat of the start was answered.
    void a_first_send_of_a_done_task_is_refused_by_the_next_process()
    {
        manual_dispatcher h;
        h.add_worker("w1", 1);
        h.run_for(30 * second_ms);
        h.start_results = {call_result::no_answer, call_result::done};
        h.submit("a", "batch");
        h.run_now();
        auto const late = h.starts.at(0);
        expect(h.starts.at(1).run == late.run, "the start is repeated");
        renew_reply done;
        done.worker = "w1";
        done.result = call_result::done;
        done.incarnation = 1;
        done.clock_ms = h.clock_of("w1");
        done.ended = {{1, late.run, run_end::done, ""}};
        h.reply(done);
        h.run_for(second_ms);
        expect(h.renewals.at("w1").back().last_seen == 1, "its end is noted");
        section("the worker is back before it has left the list",
                [&]
                {
                    h.unresponsive.insert("w1");
                    h.run_for(2 * second_ms);
                    h.unresponsive.clear();
                    h.add_worker("w1", 2);
                    h.run_for(manual_dispatcher::step_ms);
                    expect(h.deliver_late(late) == call_result::fenced,
                           "it refuses the first send");
                });
        section("or after that",
                [&]
                {
                    h.unresponsive.insert("w1");
                    h.run_for(4 * second_ms);
                    h.unlist_worker("w1");
                    h.run_for(second_ms);
                    h.unresponsive.clear();
                    h.add_worker("w1", 3);
                    h.run_for(manual_dispatcher::step_ms);
                    expect(h.deliver_late(late) == call_result::fenced,
                           "it refuses the first send");
                });
    }

    /// Guards against work that stands still beside free workers (LOST): its
    /// worker is back while the lease lasts.
    void a_task_of_a_worker_that_is_back_is_started_at_once()
    {
        for (auto const away_ms : {500, 2'500, 4'500})
            section(std::to_string(away_ms) + " ms later",
                    [&]
                    {
                        manual_dispatcher h;
                        auto const late = lose_start_to_w1(h);
                        h.unresponsive.insert("w1");
                        h.run_for(away_ms);
                        h.unresponsive.clear();
                        h.add_worker("w1", 2);
                        h.run_for(500);
                        expect(h.starts.size() == 2 &&
                                   h.starts[1].worker == "w1",
                               "it is started there again");
                        expect(h.deliver_late(late) == call_result::fenced,
                               "and the late order is refused");
                    });
    }

    void a_successor_starts_it_at_once_on_a_worker_that_is_back()
    {
        manual_dispatcher h;
        h.add_worker("w1", 1);
        h.add_worker("w2", 1);
        h.unresponsive.insert("w1");
        h.adopt("a", "w1", 1);
        h.run_for(3 * second_ms);
        expect(h.starts.empty(), "not while it is silent");
        h.unresponsive.clear();
        h.add_worker("w1", 2);
        h.run_for(500);
        expect(h.starts.size() == 1 && h.starts[0].worker == "w1" &&
                   h.starts[0].run.run == 2,
               "once it has answered");
    }

    void a_gang_keeps_the_place_of_a_member_of_unknown_outcome()
    {
        manual_dispatcher h;
        h.add_worker("w1", 1);
        h.add_worker("w2", 1);
        h.run_for(30 * second_ms);
        h.answers_starts = false;
        h.submit("a", "batch", 2);
        h.run_for(200);
        expect(h.starts.size() == 2, "both members were sent");
        auto const late =
            h.starts[0].worker == "w1" ? h.starts[0] : h.starts[1];
        auto const other =
            h.starts[0].worker == "w1" ? h.starts[1] : h.starts[0];
        h.running["w2"].insert(other.run);
        h.reply(start_reply{other.worker, other.run, call_result::done,
                            h.clock_of(other.worker)});
        h.answers_starts = true;
        h.add_worker("w3", 1);
        h.unresponsive.insert("w1");
        h.run_for(second_ms);
        h.unresponsive.clear();
        h.add_worker("w1", 2);
        h.run_for(500);
        h.end("w2", "a");
        h.run_for(3 * second_ms);
        expect(h.starts.size() == 4, "the gang is started again");
        for (auto const& s : h.starts)
            if (s.run.task == late.run.task)
                expect(s.worker == "w1", "the member at its place");
        expect(h.deliver_late(late) == call_result::fenced,
               "which refuses the late order");
    }

    /// Guards against two runs of one task (TWICE): a third process has not
    /// seen the token with which the second one was fenced.
    void a_second_restart_runs_no_task_twice()
    {
        manual_dispatcher h;
        auto const late = lose_start_to_w1(h);
        h.add_worker("w1", 2);
        h.run_for(500);
        expect(h.starts.size() == 2 && h.starts[1].worker == "w1",
               "it runs on the second process");
        h.unresponsive.insert("w1");
        h.running["w1"].clear();
        h.add_worker("w1", 3);
        expect(h.deliver_late(late) == call_result::done,
               "the third one gets the late order first");
        h.run_for(5 * second_ms);
        section("no other worker gets the task",
                [&] { expect(h.starts.size() == 2, "no third start"); });
        h.unresponsive.clear();
        h.run_for(500);
        section("the run is stopped before the next one",
                [&]
                {
                    expect(h.stops.back().run == late.run, "a stop");
                    expect(h.starts.size() == 2, "no third start");
                });
        h.end("w1", "a");
        h.run_for(3 * second_ms);
        expect(h.starts.size() == 3 && h.starts[2].worker == "w1",
               "then it is started again");
    }

    void a_successor_keeps_the_place_of_a_waiting_task()
    {
        accepted_job job;
        job.id = "a";
        job.queue = "batch";
        job.team = "team";
        job.spec = simple_job(1, 1);
        job.spec.steps[0].need = {8'000, 8'000, 8};
        manual_dispatcher earlier;
        (void)lose_start_to_w1(earlier);
        earlier.add_worker("w1", 2);
        earlier.set_capacity("w1", {1'000, 1'000, 1});
        earlier.run_for(500);
        auto const recorded = earlier.newest_progress("a", job.spec);
        expect(recorded.phase == unit_phase::waiting, "the task waits");
        manual_dispatcher h;
        h.add_worker("w1", 3);
        h.add_worker("w2", 1);
        auto progress = initial_progress(job.spec);
        progress.units.begin()->second = recorded;
        h.submit(job, progress);
        h.run_for(second_ms);
        expect(h.starts.size() == 1 && h.starts[0].worker == "w1",
               "it is started where the late order may arrive");
    }

    void work_does_not_wait_for_a_worker_that_leaves()
    {
        section("it drains",
                []
                {
                    manual_dispatcher h;
                    (void)lose_start_to_w1(h);
                    h.add_worker("w1", 2);
                    h.drain_worker("w1", 20 * second_ms);
                    h.run_for(second_ms);
                    expect_start_on_w2(h);
                });
        section("it has no room, and leaves the list",
                []
                {
                    manual_dispatcher h;
                    (void)lose_start_to_w1(h);
                    h.add_worker("w1", 2);
                    h.set_capacity("w1", {1'000, 1'000, 1});
                    h.run_for(2 * second_ms);
                    expect(h.starts.size() == 1, "no start while it is listed");
                    h.unresponsive.insert("w1");
                    h.unlist_worker("w1");
                    h.run_for(second_ms);
                    expect_start_on_w2(h);
                });
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
    static void expect_start_on_w2(manual_dispatcher const& h)
    {
        expect(h.starts.size() == 2 && h.starts[1].worker == "w2",
               "the task is started elsewhere");
    }

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
