/// \file
/// Time limits of appends while answers of the log are lost or late.

#include "section.hpp"

#include <jasminetrack/entry/append_timeout.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace jasminetrack::entry;
using support::expect;
using support::section;

class test_append_timeout : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_append_timeout);
    CPPUNIT_TEST(lost_answers_do_not_delay_callers);
    CPPUNIT_TEST(a_slow_log_is_not_flooded_with_repeats);
    CPPUNIT_TEST_SUITE_END();

public:
    void lost_answers_do_not_delay_callers()
    {
        append_timeout t;
        for (int i = 0; i < 20; ++i)
            t.on_answer(5);
        auto const usual = t.limit();
        expect(usual <= 200, "far below a caller's deadline");
        section("an answer after a lost one restores the limit",
                [&]
                {
                    t.on_missing_answer();
                    expect(t.limit() > usual, "longer after a lost answer");
                    t.on_answer(5);
                    expect(t.limit() == usual, "as before");
                });
    }

    void a_slow_log_is_not_flooded_with_repeats()
    {
        constexpr milliseconds slow_ms = 240;
        append_timeout t;
        t.on_answer(5);
        int repeats = 0;
        for (int i = 0; i < 20; ++i)
        {
            for (; t.limit() < slow_ms; ++repeats)
                t.on_missing_answer();
            t.on_answer(slow_ms);
        }
        expect(repeats <= 3, std::to_string(repeats) + " repeats");
        section("the limit has a maximum",
                [&]
                {
                    for (int i = 0; i < 100; ++i)
                        t.on_missing_answer();
                    expect(t.limit() <= 600, "as long as without an estimate");
                });
        section("the limit falls when the log is fast again",
                [&]
                {
                    for (int i = 0; i < 20; ++i)
                        t.on_answer(5);
                    expect(t.limit() <= 200, "as before");
                });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_append_timeout);

} // namespace
