/// \file
/// Tests the checks of the soak: each accepts a history that keeps its promise
/// and reports the nearest one that breaks it.

#include "section.hpp"

#include <checks.hpp>
#include <schedule.hpp>
#include <standins/cluster.hpp>
#include <standins/site_troubles.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace
{

using namespace jasminetrack::soak;
namespace standins = jasminetrack::standins;
using jasminetrack::standins::cancel_ms;
using jasminetrack::standins::contact_ms;
using jasminetrack::standins::finish_ms;
using support::expect;
using support::section;

constexpr milliseconds accepted_at = 20'000;
constexpr milliseconds begun_at = 21'000;
constexpr milliseconds done_at = 23'000;
constexpr milliseconds play_end = 60'000;
constexpr milliseconds standstill_ms = 3'000;
constexpr milliseconds loss_slack_ms = 200;
constexpr milliseconds reclaim_ms = 3'400;
constexpr milliseconds stop_ms = 900;
constexpr int status_ok = 200;
constexpr int status_gone = 410;

job_history make_job()
{
    job_history j;
    j.id = "j1";
    j.spec = "2000 of j1";
    j.tasks = 1;
    j.first_sent = accepted_at - 10;
    j.accepted_at = accepted_at;
    j.last_status = status_ok;
    j.last_state = "completed";
    return j;
}

run_history make_run()
{
    run_history r;
    r.task = "j1.0.0";
    r.run = 1;
    r.spec = "2000 of j1";
    r.begun_ms = begun_at;
    r.ended_ms = done_at;
    r.how = "done";
    return r;
}

/// \returns a play in which one job of one task ran once, without trouble.
play_history make_play()
{
    play_history h;
    h.jobs = {make_job()};
    h.runs = {make_run()};
    h.traffic_ended_at = play_end - finish_ms;
    h.ended_at = play_end;
    return h;
}

/// Of a task that takes half of the memory of a worker and more.
constexpr standins::resources large_need{52'000, 270'000, 8};
constexpr int workers = 4;

/// \returns a play of four workers whose only job may wait for load, needs a
/// worker to itself and waits a millisecond more than what is allowed.
play_history make_idle_play()
{
    auto h = make_play();
    for (int i = 1; i <= workers; ++i)
        h.workers.push_back({"i-" + std::to_string(i), {{0, true}}});
    h.jobs[0].may_wait_for_load = true;
    h.jobs[0].need = large_need;
    h.runs[0].worker = "i-1";
    h.runs[0].begun_ms = accepted_at + standstill_ms + 1;
    h.runs[0].ended_ms = h.runs[0].begun_ms + 2'000;
    return h;
}

/// Adds a job of one task that the worker runs for the time.
void add_load(play_history& h, std::string const& worker,
              standins::resources need, milliseconds from = 0,
              milliseconds to = play_end - finish_ms)
{
    auto j = make_job();
    j.id = "load" + std::to_string(h.jobs.size());
    j.accepted_at = from;
    j.need = need;
    h.jobs.push_back(j);
    auto r = make_run();
    r.task = j.id + ".0.0";
    r.worker = worker;
    r.begun_ms = from;
    r.ended_ms = to;
    h.runs.push_back(r);
}

trouble make_trouble(milliseconds from, milliseconds to, bool planned = false)
{
    return {"trouble", "vm1", from, to, planned};
}

request_history make_cut_request(milliseconds after_ms)
{
    request_history r;
    r.vm = "vm1";
    r.method = "GET";
    r.job = "j1";
    r.sent_at = begun_at;
    r.ended_at = begun_at + after_ms;
    r.end = request_end::closed;
    return r;
}

/// \returns a play whose job was cancelled while its task ran.
play_history make_cancelled_play(milliseconds cancelled_at)
{
    auto h = make_play();
    h.jobs[0].cancel_sent_at = cancelled_at - 10;
    h.jobs[0].cancelled_at = cancelled_at;
    h.jobs[0].last_state = "cancelled";
    h.runs[0].how = "stopped";
    return h;
}

std::string list(std::vector<finding> const& found)
{
    std::string out = "; findings:";
    for (auto const& f : found)
        out += " " + f.check + " (" + f.text + ")";
    return out;
}

/// Expects that all checks together have no finding.
void expect_kept(play_history const& h, std::string const& text)
{
    auto const found = check_all(h);
    expect(found.empty(), text + list(found));
}

/// Expects that all checks together have this finding and no other.
void expect_broken(play_history const& h, std::string const& check,
                   std::string const& text)
{
    auto const found = check_all(h);
    expect(found.size() == 1 && found[0].check == check, text + list(found));
}

class test_soak_checks : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_soak_checks);
    CPPUNIT_TEST(a_job_may_not_stand_still_in_calm);
    CPPUNIT_TEST(a_trouble_excuses_a_wait_until_calm_returns);
    CPPUNIT_TEST(no_job_waits_beside_idle_capacity);
    CPPUNIT_TEST(a_job_may_wait_for_load);
    CPPUNIT_TEST(a_job_may_wait_for_room);
    CPPUNIT_TEST(idle_capacity_counts_after_a_trouble);
    CPPUNIT_TEST(accepted_jobs_are_known_and_completed);
    CPPUNIT_TEST(a_planned_stop_answers_requests);
    CPPUNIT_TEST(only_tasks_that_were_asked_for_run);
    CPPUNIT_TEST(a_cancelled_job_starts_no_more);
    CPPUNIT_TEST(a_cancelled_job_stops);
    CPPUNIT_TEST(a_task_runs_once_at_a_time);
    CPPUNIT_TEST(a_task_whose_end_was_noted_stays_ended);
    CPPUNIT_TEST(gangs_work_together);
    CPPUNIT_TEST(guaranteed_jobs_start_in_time);
    CPPUNIT_TEST(schedules_are_equal_for_equal_seeds);
    CPPUNIT_TEST(recuts_come_with_and_without_a_kill);
    CPPUNIT_TEST(troubles_of_a_site_file_are_played);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_job_may_not_stand_still_in_calm()
    {
        expect_kept(make_play(), "a job that runs after a second");
        section("before its first run",
                [&]
                {
                    auto h = make_play();
                    h.runs[0].begun_ms = accepted_at + standstill_ms;
                    h.runs[0].ended_ms = h.runs[0].begun_ms + 2'000;
                    expect_kept(h, "three seconds are allowed");
                    ++h.runs[0].begun_ms;
                    expect_broken(h, "job stands still", "one more is not");
                });
        section("between two runs",
                [&]
                {
                    auto h = make_play();
                    h.runs[0].how = "lost";
                    h.runs.push_back(make_run());
                    h.runs[1].run = 2;
                    h.runs[1].begun_ms = done_at + standstill_ms;
                    h.runs[1].ended_ms = done_at + 5'000;
                    expect_kept(h, "three seconds are allowed");
                    ++h.runs[1].begun_ms;
                    expect_broken(h, "job stands still", "one more is not");
                });
        section("a job that was never accepted is owed nothing",
                [&]
                {
                    auto h = make_play();
                    h.runs.clear();
                    h.jobs[0].accepted_at = -1;
                    expect_kept(h, "nothing runs");
                });
        section("a cancelled job is owed no run",
                [&]
                {
                    auto h = make_cancelled_play(accepted_at + 100);
                    h.runs.clear();
                    expect_kept(h, "nothing runs");
                });
    }

    void a_trouble_excuses_a_wait_until_calm_returns()
    {
        auto h = make_play();
        auto const ended_at = accepted_at + 1'000;
        h.troubles = {make_trouble(accepted_at - 500, ended_at)};
        auto const limit = ended_at + contact_ms + standstill_ms;
        h.runs[0].begun_ms = limit;
        h.runs[0].ended_ms = limit + 2'000;
        expect_kept(h, "four seconds of recovery, then three");
        section("then the job has to run",
                [&]
                {
                    ++h.runs[0].begun_ms;
                    expect_broken(h, "job stands still", "one ms too late");
                });
        section("a second trouble begins the recovery anew",
                [&]
                {
                    h.runs[0].begun_ms = limit + 1'000;
                    h.troubles.push_back(
                        make_trouble(ended_at + 2'000, ended_at + 2'001));
                    expect_kept(h, "the calm was too short");
                });
        section("the wait after the last trouble is measured",
                [&]
                {
                    auto const waits = find_waits(make_play());
                    expect(waits.size() == 1, "one wait");
                    expect(waits[0].ended_at - waits[0].begun_at == 1'000,
                           "it lasts until the run begins");
                });
    }

    void no_job_waits_beside_idle_capacity()
    {
        auto const check = "job waits beside idle capacity";
        auto h = make_idle_play();
        expect_broken(h, check, "all workers are idle");
        expect(find_idle_waits(h).front().beside_idle == standstill_ms + 1,
               "the wait is measured");
        section("three seconds are allowed",
                [&]
                {
                    --h.runs[0].begun_ms;
                    expect_kept(h, "a ms less");
                    ++h.runs[0].begun_ms;
                });
        section("under half is in use, with room twice over",
                [&]
                {
                    add_load(h, "i-2", large_need);
                    expect_broken(h, check, "one of four workers is busy");
                });
        section("a gang",
                []
                {
                    auto play = make_idle_play();
                    play.jobs[0].is_gang = true;
                    play.jobs[0].tasks = 2;
                    expect_broken(play, "job waits beside idle capacity",
                                  "four places for two members");
                    play.workers[3].presence.push_back({accepted_at, false});
                    expect_kept(play, "three places are not twice as many");
                });
        section("a job that may not wait for load stands still",
                []
                {
                    auto play = make_idle_play();
                    play.jobs[0].may_wait_for_load = false;
                    for (int i = 1; i <= workers; ++i)
                        add_load(play, "i-" + std::to_string(i), large_need);
                    expect_broken(play, "job stands still",
                                  "on a full service");
                });
    }

    void a_job_may_wait_for_load()
    {
        auto const check = "job waits beside idle capacity";
        section("half of the accelerators are in use",
                []
                {
                    auto h = make_idle_play();
                    add_load(h, "i-2", {1'000, 256, 8});
                    add_load(h, "i-3", {1'000, 256, 8});
                    expect_kept(h, "two workers are left");
                });
        section("half of the cores are in use",
                [&]
                {
                    auto h = make_idle_play();
                    h.jobs[0].need = {1'000, 256, 1};
                    add_load(h, "i-2", {128'000, 256, 0});
                    add_load(h, "i-3", {127'000, 256, 0});
                    expect_broken(h, check, "a core less than half");
                    add_load(h, "i-4", {1'000, 256, 0});
                    expect_kept(h, "half");
                });
        section("load that ends in between",
                [&]
                {
                    auto h = make_idle_play();
                    auto const ends_at = accepted_at + 1;
                    add_load(h, "i-2", large_need, 0, ends_at);
                    add_load(h, "i-3", large_need, 0, ends_at);
                    expect_kept(h, "three seconds are left after it");
                    --h.runs.back().ended_ms;
                    expect_broken(h, check, "a ms more after it");
                });
        section("load that comes and goes",
                []
                {
                    auto h = make_idle_play();
                    h.runs[0].begun_ms += standstill_ms;
                    h.runs[0].ended_ms += standstill_ms;
                    auto const from = accepted_at + standstill_ms;
                    add_load(h, "i-2", large_need, from, from + 1);
                    add_load(h, "i-3", large_need, from, from + 1);
                    expect_kept(h, "no three seconds on end");
                });
    }

    void a_job_may_wait_for_room()
    {
        auto const check = "job waits beside idle capacity";
        standins::resources const much_memory{1'000, 260'000, 0};
        auto h = make_idle_play();
        add_load(h, "i-2", much_memory);
        add_load(h, "i-3", much_memory);
        expect_broken(h, check, "two workers have the memory");
        section("one worker has the memory",
                [&]
                {
                    add_load(h, "i-4", much_memory);
                    expect_kept(h, "room for one");
                });
        section(
            "a worker that is gone has no room",
            []
            {
                auto play = make_idle_play();
                for (auto const i : {1U, 2U, 3U})
                    play.workers[i].presence.push_back({accepted_at, false});
                expect_kept(play, "one worker is left");
            });
        section("a worker that is gone is no part of the service",
                [&]
                {
                    auto play = make_idle_play();
                    play.jobs[0].need = {1'000, 256, 1};
                    play.workers[3].presence.push_back({accepted_at, false});
                    add_load(play, "i-2", {1'000, 256, 8});
                    add_load(play, "i-3", {1'000, 256, 3});
                    expect_broken(play, check, "11 of 24 are in use");
                    add_load(play, "i-3", {1'000, 256, 1});
                    expect_kept(play, "12 of 24 are in use");
                });
        section("a worker that comes back has it",
                [&]
                {
                    auto play = make_idle_play();
                    for (auto const i : {1U, 2U, 3U})
                        play.workers[i].presence = {{accepted_at, true}};
                    expect_broken(play, check,
                                  "back from the start of the wait");
                    for (auto const i : {1U, 2U, 3U})
                        ++play.workers[i].presence[0].at_ms;
                    expect_kept(play, "a ms later");
                });
    }

    void idle_capacity_counts_after_a_trouble()
    {
        auto h = make_idle_play();
        auto const ended_at = accepted_at + 1'000;
        h.troubles = {make_trouble(accepted_at - 500, ended_at)};
        expect_kept(h, "the trouble excuses the wait");
        h.runs[0].begun_ms = ended_at + contact_ms + standstill_ms;
        h.runs[0].ended_ms = h.runs[0].begun_ms + 2'000;
        expect_kept(h, "four seconds of recovery, then three");
        ++h.runs[0].begun_ms;
        expect_broken(h, "job waits beside idle capacity", "one ms too late");
    }

    void accepted_jobs_are_known_and_completed()
    {
        auto h = make_play();
        section("the job is not known",
                [&]
                {
                    h.jobs[0].last_status = status_gone;
                    expect_broken(h, "accepted job not known", "410");
                });
        section("no status request is answered",
                [&]
                {
                    h.jobs[0].last_status = 0;
                    expect_broken(h, "accepted job not known", "no answer");
                });
        section("the job does not complete",
                [&]
                {
                    h.jobs[0].last_status = status_ok;
                    h.jobs[0].last_state = "running";
                    expect_broken(h, "accepted job not completed", "running");
                });
        section("a job that was not accepted need not be known",
                [&]
                {
                    h.jobs[0].accepted_at = -1;
                    h.jobs[0].last_status = status_gone;
                    h.runs.clear();
                    expect_kept(h, "410");
                });
    }

    void a_planned_stop_answers_requests()
    {
        auto h = make_play();
        h.troubles = {make_trouble(begun_at, begun_at + 500, true)};
        section("a request is cut off within the slack",
                [&]
                {
                    h.requests = {make_cut_request(loss_slack_ms)};
                    expect_kept(h, "it may not have been read");
                });
        section("a request is cut off later",
                [&]
                {
                    h.requests = {make_cut_request(loss_slack_ms + 1)};
                    expect_broken(h, "request without an answer", "201 ms");
                });
        section("a request that was answered is no loss",
                [&]
                {
                    h.requests = {make_cut_request(loss_slack_ms + 1)};
                    h.requests[0].end = request_end::answered;
                    expect_kept(h, "answered after 201 ms");
                });
        section("an unplanned disruption near the request excuses it",
                [&]
                {
                    h.requests = {make_cut_request(loss_slack_ms + 1)};
                    auto const ended_at = begun_at - contact_ms;
                    h.troubles.push_back(
                        make_trouble(ended_at - 100, ended_at));
                    expect_kept(h, "it ended four seconds before");
                    --h.troubles.back().ended_at;
                    expect_broken(h, "request without an answer",
                                  "it ended earlier than that");
                });
    }

    void only_tasks_that_were_asked_for_run()
    {
        auto h = make_play();
        section("a task of no job",
                [&]
                {
                    h.runs.push_back(make_run());
                    h.runs[1].task = "j2.0.0";
                    expect_broken(h, "unknown task runs", "nobody sent j2");
                });
        section("a job whose attempts were all refused",
                [&]
                {
                    h = make_play();
                    h.jobs[0].accepted_at = -1;
                    h.jobs[0].outcome_unknown = true;
                    expect_kept(h, "an attempt without an answer may count");
                    h.jobs[0].outcome_unknown = false;
                    expect_broken(h, "refused job runs", "all were refused");
                });
        section("another spec",
                [&]
                {
                    h = make_play();
                    h.runs[0].spec = "2000 of j2";
                    expect_broken(h, "task runs with another spec", "of j2");
                });
        section("a checkpoint of another task",
                [&]
                {
                    h = make_play();
                    h.runs[0].how = "lost";
                    h.runs[0].checkpoints = {"c1"};
                    h.runs.push_back(make_run());
                    h.runs[1].run = 2;
                    h.runs[1].begun_ms = done_at + 100;
                    h.runs[1].ended_ms = done_at + 1'000;
                    h.runs[1].resumed_from = "c1";
                    expect_kept(h, "the task's own checkpoint");
                    h.runs[1].resumed_from = "c2";
                    expect_broken(h,
                                  "task resumes from a checkpoint of another",
                                  "nobody made c2 for it");
                });
    }

    void a_cancelled_job_starts_no_more()
    {
        auto const cancelled_at = accepted_at + 100;
        auto const limit = cancelled_at + cancel_ms;
        auto h = make_cancelled_play(cancelled_at);
        h.runs[0].begun_ms = limit;
        h.runs[0].ended_ms = limit + 100;
        expect_kept(h, "a start within the bound");
        ++h.runs[0].begun_ms;
        expect_broken(h, "cancelled job starts", "a start after it");
        section("a worker that carries the start out late",
                [&]
                {
                    h.runs[0].was_late = true;
                    expect_kept(h, "the order itself was in time");
                    h.runs[0].was_late = false;
                });
        section("a trouble shortly before the start",
                [&]
                {
                    auto const ended_at = h.runs[0].begun_ms - contact_ms;
                    h.troubles = {make_trouble(ended_at - 10, ended_at)};
                    expect_kept(h, "four seconds before");
                    --h.troubles[0].ended_at;
                    expect_broken(h, "cancelled job starts",
                                  "more than four seconds before");
                });
    }

    void a_cancelled_job_stops()
    {
        auto const cancelled_at = begun_at + 100;
        auto const limit = cancelled_at + cancel_ms + stop_ms;
        auto h = make_cancelled_play(cancelled_at);
        h.runs[0].ended_ms = limit;
        expect_kept(h, "it ends within the bound");
        ++h.runs[0].ended_ms;
        expect_broken(h, "cancelled job runs on", "it ends after it");
        h.runs[0].ended_ms = -1;
        expect_broken(h, "cancelled job runs on", "it never ends");
        h.troubles = {make_trouble(limit - 10, limit)};
        expect_kept(h, "a trouble excuses it");
        section("a run that its worker began late",
                [&]
                {
                    h.troubles.clear();
                    auto& late = h.runs[0];
                    late.was_late = true;
                    late.begun_ms = limit + 1'000;
                    late.ended_ms =
                        late.begun_ms + contact_ms + cancel_ms + stop_ms;
                    expect_kept(h, "its end is due from its start on");
                    ++late.ended_ms;
                    expect_broken(h, "cancelled job runs on", "a ms later");
                });
    }

    void a_task_runs_once_at_a_time()
    {
        auto h = make_play();
        h.runs[0].how = "lost";
        h.runs.push_back(make_run());
        h.runs[1].run = 2;
        h.runs[1].begun_ms = done_at;
        h.runs[1].ended_ms = done_at + 2'000;
        expect_kept(h, "the second begins as the first ends");
        --h.runs[1].begun_ms;
        expect_broken(h, "two runs at once", "it begins a ms before");
        section("a run that never ended overlaps all later ones",
                [&]
                {
                    h.runs[0].ended_ms = -1;
                    h.runs[1].begun_ms = done_at + 1'000;
                    expect_broken(h, "two runs at once", "the first runs on");
                });
        section("only runs of the same task count",
                [&]
                {
                    h = make_play();
                    h.runs[0].ended_ms = done_at + 5'000;
                    h.runs.push_back(make_run());
                    h.runs[1].task = "j1.0.1";
                    h.runs[1].ended_ms = done_at + 5'000;
                    h.jobs[0].tasks = 2;
                    expect_kept(h, "two tasks may run side by side");
                    h.runs[1].task = "j1.0.0";
                    h.jobs[0].tasks = 1;
                    expect_broken(h, "two runs at once", "one task may not");
                });
    }

    void a_task_whose_end_was_noted_stays_ended()
    {
        auto h = make_play();
        h.runs.push_back(make_run());
        h.runs[1].run = 2;
        h.runs[1].begun_ms = done_at + 100;
        h.runs[1].ended_ms = done_at + 2'000;
        expect_kept(h, "an end that nobody took note of is no end");
        h.runs[0].noted_ms = done_at + 50;
        expect_broken(h, "run after its noted end", "noted before the start");
        h.runs[0].noted_ms = done_at + 500;
        expect_broken(h, "run after its noted end", "noted after the start");
        section("an end that was not done",
                [&]
                {
                    h.runs[0].how = "failed";
                    expect_kept(h, "the task is tried again");
                });
    }

    void gangs_work_together()
    {
        auto h = make_play();
        h.jobs[0].is_gang = true;
        h.jobs[0].tasks = 2;
        h.runs.push_back(make_run());
        h.runs[1].task = "j1.0.1";
        expect_kept(h, "both members end");
        section("one end represents all",
                [&]
                {
                    h.runs[1].how = "lapsed";
                    expect_kept(h, "the other's lease lapses");
                });
        section("a member waits in vain",
                [&]
                {
                    h.runs[1].how = "alone";
                    expect_broken(h, "gang member waits alone", "in calm");
                    auto const ended_at = begun_at - contact_ms;
                    h.troubles = {make_trouble(ended_at - 10, ended_at)};
                    expect_kept(h, "after a trouble");
                    --h.troubles[0].ended_at;
                    expect_broken(h, "gang member waits alone",
                                  "more than four seconds after it");
                });
        section("a checkpoint of another member is its own",
                [&]
                {
                    h.troubles.clear();
                    h.runs[0].checkpoints = {"c1"};
                    h.runs[1].how = "done";
                    h.runs[1].resumed_from = "c1";
                    expect_kept(h, "it is valid for the gang");
                    h.jobs[0].is_gang = false;
                    expect_broken(h,
                                  "task resumes from a checkpoint of another",
                                  "not for tasks that are no gang");
                });
    }

    void guaranteed_jobs_start_in_time()
    {
        auto h = make_play();
        h.jobs[0].urgent = true;
        h.jobs[0].tasks = 2;
        h.runs.push_back(make_run());
        h.runs[1].task = "j1.0.1";
        h.runs[1].begun_ms = accepted_at + reclaim_ms;
        h.runs[1].ended_ms = h.runs[1].begun_ms + 1'000;
        expect_kept(h, "all tasks have begun at the bound");
        ++h.runs[1].begun_ms;
        expect_broken(h, "guaranteed job starts late", "one task is late");
        section("a job without the guarantee",
                [&]
                {
                    h.jobs[0].urgent = false;
                    expect_kept(h, "only the standstill bound holds");
                    h.jobs[0].urgent = true;
                });
        section("a trouble before the acceptance",
                [&]
                {
                    auto const ended_at = accepted_at - contact_ms;
                    h.troubles = {make_trouble(ended_at - 10, ended_at)};
                    expect_kept(h, "four seconds before");
                    --h.troubles[0].ended_at;
                    expect_broken(h, "guaranteed job starts late",
                                  "more than four seconds before");
                });
    }

    void schedules_are_equal_for_equal_seeds()
    {
        constexpr milliseconds traffic_ms = 120'000;
        auto const drawn = draw_schedule(7, traffic_ms);
        expect(!drawn.empty(), "it has faults");
        expect(drawn == draw_schedule(7, traffic_ms), "the same seed");
        expect(drawn != draw_schedule(8, traffic_ms), "another seed");
        for (auto const& f : drawn)
            expect(f.kind < fault_kind::count, "each fault has a kind");
    }

    void recuts_come_with_and_without_a_kill()
    {
        constexpr milliseconds traffic_ms = 30'000;
        constexpr std::uint32_t seeds = 8;
        std::set<fault_kind> kinds;
        for (std::uint32_t seed = 1; seed <= seeds; ++seed)
        {
            auto const drawn = draw_recuts(seed, traffic_ms);
            expect(drawn == draw_recuts(seed, traffic_ms), "the same seed");
            for (auto const& f : drawn)
                kinds.insert(f.kind);
        }
        expect(kinds == std::set{fault_kind::workers_recut,
                                 fault_kind::workers_recut_around_a_kill},
               "both kinds, and no others");
    }

    void troubles_of_a_site_file_are_played()
    {
        auto const site = standins::parse_site_troubles(
            "name = 'a'\n"
            "troubles = [\n"
            "  { kind = 'srv_crash', share = 0.14, for_s = 4.5, how = '' },\n"
            "  { kind = 'node_cut', share = 0.2, how = 'servers' },\n"
            "  { kind = 'big_config', count = 1400 },\n"
            "]\n");
        expect(site.faults.size() == 2, "those that a soak can play");
        expect(site.faults[0].kind == fault_kind::workers_crash &&
                   site.faults[0].for_ms == 4'500 &&
                   site.faults[0].share == 0.14,
               "with their shares and lengths");
        expect(site.faults[1].kind == fault_kind::workers_cut,
               "by their variants");
        expect(site.unplayed == std::vector<std::string>{"big_config"},
               "the others are named");
        section("what is no site file",
                []
                {
                    for (auto const* text : {"name = 'a'", "= ["})
                        CPPUNIT_ASSERT_THROW(
                            (void)standins::parse_site_troubles(text),
                            std::runtime_error);
                });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_soak_checks);

} // namespace
