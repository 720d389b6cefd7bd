/// \file
/// Outcomes that callers get under failures: done, refused and not run, or
/// unknown. A call must not run twice, nor be reported as not run if it ran.

#include "cluster.hpp"
#include "section.hpp"

#include <csignal>
#include <future>
#include <iostream>

namespace
{

using namespace process_tests;
using support::expect;
using support::section;

class test_answers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_answers);
    CPPUNIT_TEST(a_key_runs_once_across_entry_vms);
    CPPUNIT_TEST(a_killed_entry_leaves_the_outcome_unknown);
    CPPUNIT_TEST(lost_append_answers_cause_no_duplicates);
    CPPUNIT_TEST(calls_and_jobs_during_a_log_outage);
    CPPUNIT_TEST(a_job_accepted_elsewhere_is_not_denied);
    CPPUNIT_TEST(wrong_or_missing_answers_of_targets);
    CPPUNIT_TEST(a_call_that_fails_everywhere_reaches_three_targets);
    CPPUNIT_TEST(refusals_name_the_exceeded_limit);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_key_runs_once_across_entry_vms()
    {
        cluster c({});
        c.apply_default_ticket();
        for (std::size_t i = 0; i < c.workers().size(); ++i)
            c.set_worker_option(i, "call_ms=500");
        section("two entry VMs receive the same key at once",
                [&]
                {
                    auto first =
                        std::async(std::launch::async, [&]
                                   { return c.call(0, "labels", "lot-1"); });
                    auto second =
                        std::async(std::launch::async, [&]
                                   { return c.call(1, "labels", "lot-1"); });
                    auto const a = first.get();
                    auto const b = second.get();
                    expect(outcome_of(a) == "done", "a: " + a.body);
                    expect(outcome_of(b) == "done", "b: " + b.body);
                    expect(a.body == b.body,
                           "both callers get the same answer");
                    expect(c.call_count("lot-1") == 1, "it ran once");
                });
        section("a third entry VM returns the stored answer",
                [&]
                {
                    auto const again = c.call(2, "labels", "lot-1");
                    expect(outcome_of(again) == "done", again.body);
                    expect(c.call_count("lot-1") == 1, "it did not run again");
                });
        section("the same key with another body is refused",
                [&]
                {
                    auto const other = c.call(1, "labels", "lot-1", "y");
                    expect(outcome_of(other) == "not_run", other.body);
                    expect(other.status == 409, "status 409");
                });
    }

    void a_killed_entry_leaves_the_outcome_unknown()
    {
        cluster c({});
        c.apply_default_ticket();
        for (std::size_t i = 0; i < c.workers().size(); ++i)
            c.set_worker_option(i, "call_ms=2000");
        auto first = std::async(std::launch::async,
                                [&] { return c.call(0, "labels", "lot-2"); });
        expect(wait_until([&] { return c.call_count("lot-2") == 1; }, 5000),
               "the call reaches a target");
        c.entry(0).process->kill();
        expect(outcome_of(first.get()) == "none", "the caller gets no answer");
        auto const again = c.call(1, "labels", "lot-2");
        expect(outcome_of(again) == "unknown", again.body);
        expect(c.call_count("lot-2") == 1, "it was not sent again");
    }

    void lost_append_answers_cause_no_duplicates()
    {
        cluster c({});
        c.apply_default_ticket();
        c.set_platform_option("lose_answers=3");
        auto const answer = c.call(0, "labels", "lot-3");
        expect(outcome_of(answer) == "done", answer.body);
        expect(c.call_count("lot-3") == 1, "it ran once");
        c.set_platform_option("lose_answers=3");
        auto const id = c.submit(1, "spare", "job-3", "run_ms=200");
        auto const j = c.job(2, id, 10'000);
        expect(j["end"] == "done", j.dump());
        int started = 0;
        for (auto const& e : c.task_events())
            started += e["what"] == "started" ? 1 : 0;
        expect(started == 8, "each of eight members started once");
    }

    void calls_and_jobs_during_a_log_outage()
    {
        cluster c({});
        c.apply_default_ticket();
        c.set_platform_option("down=1");
        section("idempotent calls continue",
                [&]
                {
                    for (int i = 0; i < 20; ++i)
                    {
                        auto const a =
                            c.call(static_cast<std::size_t>(i) % 3, "receipts",
                                   "r" + std::to_string(i));
                        expect(outcome_of(a) == "done", a.body);
                    }
                });
        section("a call that is not idempotent is refused as not run",
                [&]
                {
                    auto const a = c.call(0, "labels", "lot-4", "x", 700);
                    expect(outcome_of(a) == "not_run", a.body);
                    expect(c.call_count("lot-4") == 0, "it did not run");
                });
        section("a job submitted again with the same key completes",
                [&]
                {
                    json const body{{"team", "cork"},
                                    {"key", "job-4"},
                                    {"job_class", "spare"},
                                    {"payload", "run_ms=100"}};
                    auto const a = c.post(0, "/v1/jobs", body.dump());
                    expect(outcome_of(a) == "unknown" ||
                               outcome_of(a) == "not_run",
                           a.body);
                    c.set_platform_option("down=0");
                    auto const id = c.submit(1, "spare", "job-4", "run_ms=100");
                    auto const j = c.job(2, id, 10'000);
                    expect(j["end"] == "done", j.dump());
                });
        section("the refused call did not run later",
                [&]
                {
                    expect(c.call_count("lot-4") == 0, "it has not run");
                    auto const a = c.call(1, "labels", "lot-4");
                    expect(outcome_of(a) == "done", a.body);
                    expect(c.call_count("lot-4") == 1,
                           "it ran on the second request");
                });
    }

    /// Guards against an accepted job that is said not to exist (LOST), by an
    /// entry VM whose view of the log is old.
    void a_job_accepted_elsewhere_is_not_denied()
    {
        cluster c({});
        c.apply_default_ticket();
        c.entry(2).to_log->set_blocked(true);
        c.entry(2).from_peers->set_blocked(true);
        auto const path = "/v1/jobs/" + c.submit(0, "spare", "a", "run_ms=10");
        auto const denied = c.get(2, path);
        expect(denied.status == 503,
               std::to_string(denied.status) + " " + denied.body);
        c.entry(2).to_log->clear_faults();
        c.entry(2).from_peers->clear_faults();
        expect(wait_until([&] { return c.get(2, path).status == 200; }, 10'000),
               "it is found when the log can be read");
        expect(c.get(0, "/v1/jobs/j999999").status == 404,
               "a job that nobody has submitted does not exist");
    }

    void wrong_or_missing_answers_of_targets()
    {
        cluster c({});
        c.apply_default_ticket();
        section("an answer to another request is not returned",
                [&]
                {
                    for (std::size_t i = 0; i < 4; ++i)
                        c.set_worker_option(i, "wrong_key=1");
                    auto const a = c.call(0, "labels", "lot-5");
                    expect(outcome_of(a) == "unknown", a.body);
                    expect(c.call_count("lot-5") == 1, "it is not repeated");
                    for (std::size_t i = 0; i < 4; ++i)
                        c.set_worker_option(i, "wrong_key=0");
                });
        section("a target whose answer is lost",
                [&]
                {
                    for (auto& w : c.workers())
                        w.proxy->set_traffic(traffic::pass, traffic::discard,
                                             false);
                    auto const a = c.call(1, "labels", "lot-6", "x", 900);
                    expect(outcome_of(a) == "unknown", a.body);
                    expect(c.call_count("lot-6") <= 1, "at most once");
                    for (auto& w : c.workers())
                        w.proxy->clear_faults();
                });
        section("an idempotent call is retried at another target",
                [&]
                {
                    c.workers()[0].proxy->set_blocked(true);
                    c.workers()[1].proxy->set_blocked(true);
                    for (int i = 0; i < 12; ++i)
                    {
                        auto const key = "i" + std::to_string(i);
                        auto const a = c.call(2, "receipts", key);
                        expect(outcome_of(a) == "done", a.body);
                    }
                });
    }

    void a_call_that_fails_everywhere_reaches_three_targets()
    {
        cluster c({});
        c.apply_default_ticket();
        for (std::size_t i = 0; i < c.workers().size(); ++i)
            c.set_worker_option(i, "wrong_key=1");
        auto const a = c.call(0, "receipts", "crash-1");
        expect(outcome_of(a) == "unknown", a.body);
        auto const reached = c.call_count("crash-1");
        expect(reached == 3,
               "it reached " + std::to_string(reached) + " targets");
    }

    void refusals_name_the_exceeded_limit()
    {
        cluster_settings s;
        s.entries = 1;
        s.entry_settings = "limits:\n  body: 8KB\n  team_requests: 2\n";
        cluster c(s);
        c.apply_default_ticket();
        auto const big = c.call(0, "receipts", "big", std::string(20'000, 'x'));
        expect(big.status == 413 &&
                   big.body.find("limits.body") != std::string::npos,
               big.body);
        for (std::size_t i = 0; i < 4; ++i)
            c.set_worker_option(i, "call_ms=700");
        std::vector<std::future<http_client_result>> calls;
        for (int i = 0; i < 6; ++i)
            calls.push_back(std::async(
                std::launch::async,
                [&, i] { return c.call(0, "receipts", std::to_string(i)); }));
        int refused = 0;
        for (auto& f : calls)
        {
            auto const a = f.get();
            if (a.status != 429)
                continue;
            ++refused;
            expect(outcome_of(a) == "not_run" &&
                       a.body.find("limits.team_requests") != std::string::npos,
                   a.body);
        }
        expect(refused == 4, "four calls exceed the limit, refused: " +
                                 std::to_string(refused));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_answers);

} // namespace
