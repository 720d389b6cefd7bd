/// \file
/// Entries of the platform's list that do not describe the worker they name,
/// and refusals by a process at another address.

#include "manual_dispatcher.hpp"
#include "section.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace support;

constexpr milliseconds second_ms = 1'000;
constexpr milliseconds lease_ms = 6'000;
constexpr char const* other_address = "10.0.0.9:1";

/// Two workers, and a task that runs on one of them.
struct running_task_on_one_of_two
{
    running_task_on_one_of_two()
    {
        h.add_worker("w1", 1);
        h.add_worker("w2", 1);
        h.run_for(500);
        h.submit("a", "batch");
        h.run_for(500);
        expect(h.starts.size() == 1, "the task runs");
        worker = h.starts.front().worker;
    }

    /// Another process is at the address in the worker's entry.
    void list_with_other_address()
    {
        auto entry = h.entry_of(worker);
        entry.address = other_address;
        h.put_entry(entry);
        refuse();
    }

    void refuse()
    {
        h.unanswered_result = call_result::other_incarnation;
        h.unresponsive.insert(worker);
    }

    manual_dispatcher h;
    std::string worker;
};

class test_wrong_entries : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_wrong_entries);
    CPPUNIT_TEST(a_wrong_address_ends_no_run);
    CPPUNIT_TEST(an_entry_with_an_unused_service_changes_nothing);
    CPPUNIT_TEST(a_refusal_where_the_worker_answered_ends_its_runs);
    CPPUNIT_TEST(a_refusal_to_an_earlier_incarnation_ends_no_run);
    CPPUNIT_TEST(an_entry_that_changes_before_the_start_is_heeded);
    CPPUNIT_TEST(a_run_that_is_found_before_the_start_counts);
    CPPUNIT_TEST(no_start_beside_a_run_of_an_unknown_job);
    CPPUNIT_TEST(nothing_starts_by_an_entry_that_names_no_incarnation);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_wrong_address_ends_no_run()
    {
        section("while the worker holds its lease",
                [&]
                {
                    running_task_on_one_of_two t;
                    t.list_with_other_address();
                    t.h.run_for(2 * second_ms);
                    expect(t.h.starts.size() == 1, "not started elsewhere");
                    expect(!t.h.view_of(t.worker).hosted_runs.empty(),
                           "its capacity is in use");
                });
        section("the run goes on once the entry is right again",
                [&]
                {
                    running_task_on_one_of_two t;
                    t.list_with_other_address();
                    t.h.run_for(2 * second_ms);
                    t.h.put_entry(t.h.entry_of(t.worker));
                    t.h.unresponsive.clear();
                    t.h.percents[t.worker] = 50; // it does not hang
                    t.h.run_for(3 * second_ms);
                    expect(t.h.starts.size() == 1, "not started again");
                    expect(t.h.stops.empty(), "not stopped");
                });
        section("the task runs elsewhere after the lease",
                [&]
                {
                    running_task_on_one_of_two t;
                    t.list_with_other_address();
                    auto const since = t.h.now;
                    while (t.h.starts.size() == 1 &&
                           t.h.now < since + 20 * second_ms)
                        t.h.run_for(manual_dispatcher::step_ms);
                    expect(t.h.starts.size() == 2, "started again");
                    expect(t.h.now - since > lease_ms - second_ms,
                           "not before the lease has expired");
                });
    }

    void an_entry_with_an_unused_service_changes_nothing()
    {
        running_task_on_one_of_two t;
        auto entry = t.h.entry_of(t.worker);
        auto const address = entry.address;
        entry.service = "unused";
        entry.address = other_address;
        entry.capacity = {80'000, 80'000, 80};
        t.h.put_entry(entry);
        t.h.run_for(2 * second_ms);
        expect(t.h.renewals.at(t.worker).back().address == address,
               "its lease is renewed where it answers");
        expect(t.h.view_of(t.worker).info.capacity ==
                   t.h.entry_of(t.worker).capacity,
               "its capacity is the same");
    }

    void a_refusal_where_the_worker_answered_ends_its_runs()
    {
        running_task_on_one_of_two t;
        t.refuse();
        t.h.run_for(second_ms);
        expect(t.h.starts.size() == 2, "started elsewhere at once");
    }

    /// The refused renewal was sent before the worker was listed elsewhere.
    void a_refusal_to_an_earlier_incarnation_ends_no_run()
    {
        manual_dispatcher h;
        h.add_worker("w1", 1);
        h.run_for(500);
        h.answers_starts = false;
        h.submit("a", "batch");
        h.run_for(200);
        expect(h.starts.size() == 1, "the start has no answer");
        h.held.insert("w1");
        h.run_for(200);
        h.add_worker("w2", 1);
        h.add_worker("w1", 2, other_address);
        renew_reply refusal;
        refusal.worker = "w1";
        refusal.result = call_result::other_incarnation;
        h.reply(refusal);
        h.run_for(2 * second_ms);
        expect(h.starts.size() == 1, "the start may still be carried out");
    }

    /// Guards against starts on a worker without the label in `requires`
    /// (ROUTE): its entry changed while the placement waited for the log.
    void an_entry_that_changes_before_the_start_is_heeded()
    {
        manual_dispatcher h;
        auto entry = place_constrained_task(h, 1);
        entry.labels = {"b", "r1"};
        h.put_entry(entry);
        h.store_again();
        h.run_for(second_ms);
        expect(h.starts.empty(), "it is not started there");
        entry.labels = {"a", "r1"};
        h.put_entry(entry);
        h.run_for(second_ms);
        expect(h.starts.size() == 1, "it is started with the label");
    }

    /// Guards against starts beyond `anti_affinity` (ROUTE): another task of
    /// the step, started by an earlier dispatcher, is found on the worker while
    /// the placement waits for the log.
    void a_run_that_is_found_before_the_start_counts()
    {
        manual_dispatcher h;
        (void)place_constrained_task(h, 2);
        h.running["w1"].insert({{"c", 0, 0, 1}, 7});
        h.run_for(3 * second_ms);
        h.store_again();
        h.run_for(second_ms);
        expect(h.starts.empty(), "no task is started beside it");
    }

    /// Guards against starts beyond the worker's capacity (LIMIT).
    void no_start_beside_a_run_of_an_unknown_job()
    {
        section("if it is found while the placement waits for the log",
                []
                {
                    manual_dispatcher h;
                    add_w1(h);
                    h.stores = false;
                    h.submit("a", "batch");
                    h.run_for(500);
                    h.running["w1"].insert(unknown_run());
                    h.run_for(2 * second_ms);
                    h.store_again();
                    h.run_for(second_ms);
                    expect(h.starts.empty(), "no start");
                });
        section("if it is found while a unit waits for stops",
                []
                {
                    manual_dispatcher h;
                    add_w1(h);
                    h.submit("a", "batch");
                    h.run_for(500);
                    h.submit("b", "urgent");
                    h.run_for(100);
                    h.running["w1"].insert(unknown_run());
                    h.run_for(300);
                    h.end("w1", "a");
                    h.run_for(second_ms);
                    expect(h.starts.size() == 1, "no second start");
                });
        section("if it is found before a start is repeated",
                []
                {
                    manual_dispatcher h;
                    add_w1(h);
                    h.answers_starts = false;
                    h.submit("a", "batch");
                    h.run_for(200);
                    h.running["w1"].insert(unknown_run());
                    h.run_for(100);
                    h.answer_start(h.starts.front(), call_result::no_answer);
                    h.run_for(2 * second_ms);
                    expect(h.starts.size() == 1, "no repeat");
                });
    }

    /// Guards against starts on a worker without the label (ROUTE): it has
    /// restarted as another kind.
    void nothing_starts_by_an_entry_that_names_no_incarnation()
    {
        section("after an entry that names an earlier one",
                [&]
                {
                    manual_dispatcher h;
                    h.add_worker("w1", 1);
                    auto entry = h.entry_of("w1");
                    entry.labels = {"a", "r1"};
                    h.put_entry(entry);
                    h.run_for(500);
                    h.restart_unlisted("w1", 2);
                    expect_no_start_by(h, entry);
                });
        section("before any other entry of the worker",
                [&]
                {
                    manual_dispatcher h;
                    h.add_worker("w1", 0);
                    h.restart_unlisted("w1", 2);
                    auto entry = h.entry_of("w1");
                    entry.labels = {"a", "r1"};
                    expect_no_start_by(h, entry);
                });
        section("the worker is used once its own entry is read",
                [&]
                {
                    manual_dispatcher h;
                    h.add_worker("w1", 0);
                    h.restart_unlisted("w1", 2);
                    auto entry = h.entry_of("w1");
                    entry.labels = {"a", "r1"};
                    expect_no_start_by(h, entry);
                    entry.incarnation = 2;
                    h.put_entry(entry);
                    h.run_for(second_ms);
                    expect(h.starts.size() == 1, "started");
                });
    }

private:
    static void add_w1(manual_dispatcher& h)
    {
        h.add_worker("w1", 1);
        h.run_for(500);
    }

    static task_run unknown_run()
    {
        return {{"unknown", 0, 0, 0}, 1};
    }

    static void expect_no_start_by(manual_dispatcher& h, worker_info entry)
    {
        h.run_for(500);
        entry.incarnation = 0;
        h.put_entry(entry);
        h.submit(constrained_job(1));
        h.run_for(2 * second_ms);
        expect(h.starts.empty(), "no start");
    }

    /// Places a task of a job with a label and a limit of one task a worker.
    /// Its placement waits for the log.
    /// \returns the entry of its worker.
    static worker_info place_constrained_task(manual_dispatcher& h,
                                              std::int64_t tasks)
    {
        h.add_worker("w1", 1);
        auto entry = h.entry_of("w1");
        entry.labels = {"a", "r1"};
        h.put_entry(entry);
        h.run_for(second_ms);
        h.stores = false;
        h.submit(constrained_job(tasks));
        h.run_for(second_ms);
        expect(h.newest("unit.place").find("first=w1") != std::string::npos,
               "a task is placed");
        return entry;
    }

    static accepted_job constrained_job(std::int64_t tasks)
    {
        accepted_job job;
        job.id = "c";
        job.queue = "batch";
        job.team = "team";
        job.spec = simple_job(tasks, 1);
        job.spec.steps[0].label = "a";
        job.spec.steps[0].most_per_worker = 1;
        return job;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_wrong_entries);

} // namespace
