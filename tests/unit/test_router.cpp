/// \file
/// Selection of targets: own region first, least loaded, without failing and
/// leaving ones.

#include "section.hpp"

#include <jasminetrack/core/call_router.hpp>

namespace
{

using namespace jasminetrack::core;
using support::expect;
using support::section;

worker target_at(std::string name, std::string region)
{
    worker w;
    w.name = std::move(name);
    w.region = std::move(region);
    w.address = "127.0.0.1:1";
    return w;
}

class test_router : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_router);
    CPPUNIT_TEST(calls_stay_in_their_region);
    CPPUNIT_TEST(failing_targets_are_backed_off);
    CPPUNIT_TEST(a_leaving_target_gets_no_calls);
    CPPUNIT_TEST(retries_have_a_budget);
    CPPUNIT_TEST_SUITE_END();

    std::vector<worker> targets_{target_at("a", "bern"), target_at("b", "bern"),
                                 target_at("c", "lugano")};

public:
    void calls_stay_in_their_region()
    {
        call_router r("bern");
        r.set_targets(targets_);
        std::map<std::string, int> count;
        for (int i = 0; i < 10; ++i)
        {
            auto const t = r.select_target(0, {});
            ++count[t->name];
            r.on_call_started(t->name);
        }
        expect(count["a"] == 5 && count["b"] == 5, "calls are spread evenly");
        section("another region is used if the own one has no target left",
                [&]
                {
                    auto const t = r.select_target(0, {"a", "b"});
                    expect(t && t->name == "c",
                           "the target of the other region");
                    expect(!r.select_target(0, {"a", "b", "c"}),
                           "no target is left");
                });
    }

    void failing_targets_are_backed_off()
    {
        call_router r("bern");
        r.set_targets(targets_);
        for (int i = 0; i < 3; ++i)
            r.on_call_finished(100, "a", target_result::failed);
        for (int i = 0; i < 5; ++i)
            expect(r.select_target(200, {})->name == "b", "a is not selected");
        bool back = false;
        for (int i = 0; i < 5; ++i)
            back = back || r.select_target(2000, {})->name == "a";
        expect(back, "a is selected again after the backoff");
    }

    void a_leaving_target_gets_no_calls()
    {
        call_router r("bern");
        r.set_targets(targets_);
        r.on_call_finished(0, "a", target_result::leaving);
        section("also if the list still shows it as live",
                [&]
                {
                    r.set_targets(targets_);
                    for (int i = 0; i < 10; ++i)
                        expect(r.select_target(100 * i, {})->name == "b",
                               "only b is selected");
                });
    }

    void retries_have_a_budget()
    {
        call_router r("bern");
        r.set_targets(targets_);
        int granted = 0;
        for (int i = 0; i < 1000; ++i)
        {
            (void)r.select_target(0, {});
            granted += r.consume_retry_token() ? 1 : 0;
        }
        expect(granted <= 20 + 100, "at most one in ten, and a burst of 20");
        expect(granted >= 100, "at least one in ten");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_router);

} // namespace
