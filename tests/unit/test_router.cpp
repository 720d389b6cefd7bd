/// \file
/// Targets for calls: near, least busy, not failing, not leaving.

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
    CPPUNIT_TEST(failing_targets_rest);
    CPPUNIT_TEST(leaving_is_believed_at_once);
    CPPUNIT_TEST(retries_have_a_budget);
    CPPUNIT_TEST_SUITE_END();

    std::vector<worker> list_{target_at("a", "bern"), target_at("b", "bern"),
                              target_at("c", "lugano")};

public:
    void calls_stay_in_their_region()
    {
        call_router r("bern");
        r.set_targets(list_);
        std::map<std::string, int> count;
        for (int i = 0; i < 10; ++i)
        {
            auto const t = r.select_target(0, {});
            ++count[t->name];
            r.on_call_started(t->name);
        }
        expect(count["a"] == 5 && count["b"] == 5, "evenly");
        section("and leave it when nothing near is left",
                [&]
                {
                    auto const t = r.select_target(0, {"a", "b"});
                    expect(t && t->name == "c", "far target");
                    expect(!r.select_target(0, {"a", "b", "c"}), "then none");
                });
    }

    void failing_targets_rest()
    {
        call_router r("bern");
        r.set_targets(list_);
        for (int i = 0; i < 3; ++i)
            r.on_call_finished(100, "a", target_result::failed);
        for (int i = 0; i < 5; ++i)
            expect(r.select_target(200, {})->name == "b", "not a");
        bool back = false;
        for (int i = 0; i < 5; ++i)
            back = back || r.select_target(2000, {})->name == "a";
        expect(back, "a comes back after its rest");
    }

    void leaving_is_believed_at_once()
    {
        call_router r("bern");
        r.set_targets(list_);
        r.on_call_finished(0, "a", target_result::leaving);
        section("also while the list still shows it live",
                [&]
                {
                    r.set_targets(list_);
                    for (int i = 0; i < 10; ++i)
                        expect(r.select_target(100 * i, {})->name == "b",
                               "only b");
                });
    }

    void retries_have_a_budget()
    {
        call_router r("bern");
        r.set_targets(list_);
        int granted = 0;
        for (int i = 0; i < 1000; ++i)
        {
            (void)r.select_target(0, {});
            granted += r.consume_retry_token() ? 1 : 0;
        }
        expect(granted <= 20 + 100, "one in ten and a few at once");
        expect(granted >= 100, "but not fewer");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_router);

} // namespace
