/// \file
/// Evacuated data centers: tasks that are started there, dispatchers that
/// cannot know of an evacuation, and guarantees without its workers.

#include "manual_dispatcher.hpp"
#include "section.hpp"

#include <jasminetrack/entry/settings.hpp>
#include <jasminetrack/tasks/evacuations.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace support;

constexpr milliseconds bound_ms = 5'000;
/// The bound without the time that a start takes.
constexpr milliseconds max_view_age_ms = 3'000;

dispatch_limits with_bound()
{
    dispatch_limits limits;
    limits.evacuation_bound_ms = bound_ms;
    return limits;
}

/// Two workers, each in a data center of its own.
class two_data_centers
{
public:
    explicit two_data_centers(dispatch_limits const& limits = {})
        : d(two_queues(), limits)
    {
        for (auto const& [id, data_center] :
             {std::pair("w1", "bern"), std::pair("w2", "lugano")})
        {
            d.add_worker(id, 1);
            d.place_in(id, data_center);
        }
        d.evacuate({});
        d.run_for(500);
    }

    /// \returns the workers of the starts that were sent.
    [[nodiscard]] std::vector<std::string> places() const
    {
        std::vector<std::string> ids;
        for (auto const& start : d.starts)
            ids.push_back(start.worker);
        return ids;
    }

    manual_dispatcher d;
};

class test_evacuations : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_evacuations);
    CPPUNIT_TEST(nothing_is_started_in_an_evacuated_data_center);
    CPPUNIT_TEST(an_old_view_allows_no_starts);
    CPPUNIT_TEST(an_evacuation_reaches_placed_and_reserved_work);
    CPPUNIT_TEST(work_that_waits_for_it_says_so);
    CPPUNIT_TEST(workers_that_are_cold_come_last_for_urgent_work);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against starts there on each path; what runs there runs on.
    void nothing_is_started_in_an_evacuated_data_center()
    {
        two_data_centers t;
        t.d.submit("before", "batch", 2);
        t.d.run_for(200);
        expect(t.places().size() == 2, "both workers run the gang");
        t.d.evacuate({"bern"});
        t.d.run_for(1'000);
        expect(t.d.stops.empty(), "what runs there runs on");
        t.d.end("w1", "before");
        t.d.end("w2", "before");
        t.d.cancel("before");
        t.d.run_for(1'000);
        t.d.starts.clear();
        section("a job goes elsewhere",
                [&]
                {
                    t.d.submit("a", "batch");
                    t.d.submit("b", "batch");
                    t.d.run_for(1'000);
                    expect(t.places() == std::vector<std::string>{"w2"},
                           "only the other data center is used");
                });
        section("and back when it is restored",
                [&]
                {
                    t.d.evacuate({});
                    t.d.run_for(1'000);
                    expect(t.places().size() == 2 && t.places()[1] == "w1",
                           "the second job starts there");
                });
    }

    /// Guards against starts by a dispatcher that was frozen or cut off from
    /// the log while a data center was evacuated.
    void an_old_view_allows_no_starts()
    {
        two_data_centers t(with_bound());
        t.d.evacuate({});
        t.d.run_for(max_view_age_ms + 100);
        t.d.submit("a", "urgent");
        t.d.run_for(1'000);
        expect(t.places().empty(), "no start");
        t.d.evacuate({"bern"});
        t.d.run_for(500);
        expect(t.places() == std::vector<std::string>{"w2"},
               "started with a new view");
        section("a new dispatcher has no view",
                []
                {
                    evacuations none(bound_ms);
                    expect(!none.is_current(0), "it allows no starts");
                    expect(evacuations(0).is_current(0),
                           "without a bound it does");
                });
        section("a bound that leaves no time for a view is refused",
                []
                {
                    auto const reasons = [](std::string const& bound)
                    {
                        auto const r =
                            jasminetrack::entry::parse_entry_settings(
                                "jobs: {evacuate: " + bound + "}", "f");
                        std::string text;
                        for (auto const& d : r.diagnostics)
                            text += to_line(d);
                        return text;
                    };
                    expect(reasons("3s").find("evacuate") != std::string::npos,
                           "3 s");
                    expect(reasons("4s").find("evacuate") == std::string::npos,
                           "4 s");
                });
    }

    /// Guards against a start of work that was placed, or reserved its place,
    /// before the evacuation.
    void an_evacuation_reaches_placed_and_reserved_work()
    {
        section("a placement that the log has not stored yet",
                []
                {
                    two_data_centers t;
                    t.d.stores = false;
                    t.d.submit("a", "batch", 2);
                    t.d.run_for(200);
                    t.d.evacuate({"bern"});
                    t.d.store_again();
                    t.d.run_for(1'000);
                    expect(t.places().empty(), "the gang is not started");
                });
        section("a reservation that waits for a stop",
                []
                {
                    two_data_centers t;
                    t.d.submit("low1", "batch");
                    t.d.submit("low2", "batch");
                    t.d.run_for(200);
                    t.d.submit("high", "urgent");
                    t.d.run_for(100);
                    expect(t.d.stops.size() == 1, "it waits for one stop");
                    auto const worker = t.d.stops[0].worker;
                    auto const& entry = t.d.entry_of(worker);
                    t.d.starts.clear();
                    t.d.evacuate({entry.zone});
                    t.d.end(worker, t.d.stops[0].run.task.job);
                    t.d.run_for(500);
                    expect(t.places().empty(), "not started there");
                    expect(t.d.stops.size() >= 2 &&
                               t.d.stops.back().worker != worker,
                           "it takes the place of the other job");
                });
    }

    /// Guards against waits without a reason in the logs.
    void work_that_waits_for_it_says_so()
    {
        two_data_centers t;
        t.d.evacuate({"bern", "lugano"});
        t.d.submit("a", "batch");
        t.d.run_for(3'000);
        auto const held = t.d.newest("job.held");
        expect(held.starts_with("reason=evacuated"), held);
        expect(t.d.newest("data_center.evacuated").find("workers=1") !=
                   std::string::npos,
               "the evacuation is logged");
    }

    /// Guards against urgent work on workers that are slow after their start.
    void workers_that_are_cold_come_last_for_urgent_work()
    {
        two_data_centers t;
        auto cold = t.d.entry_of("w1");
        cold.cold_ms = 10'000;
        t.d.put_entry(cold);
        t.d.submit("a", "urgent");
        t.d.run_for(200);
        expect(t.places() == std::vector<std::string>{"w2"}, "the warm worker");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_evacuations);

} // namespace
