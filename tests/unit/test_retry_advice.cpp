/// \file
/// Callers that are refused during an outage of the log. With a fixed wait of
/// one second, they used up their tries before a longer outage ended, or all
/// came back in the same second.

#include "section.hpp"

#include <jasminetrack/entry/retry_advice.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>

namespace
{

using namespace jasminetrack::entry;
using support::expect;
using support::section;

constexpr milliseconds second_ms = 1'000;
constexpr int tries = 5; ///< the first one and four more

/// What became of the callers of one outage.
struct outage_result
{
    int served = 0;
    int refused = 0; ///< after their last try
    milliseconds longest_wait_ms = 0;
    std::map<milliseconds, int> served_in_second;
};

/// Plays callers that arrive every 20 ms during an outage.
outage_result play_outage(milliseconds length_ms)
{
    constexpr milliseconds interval_ms = 20;
    outage_result result;
    for (milliseconds first = 0; first < length_ms; first += interval_ms)
    {
        auto const id = "caller" + std::to_string(first);
        auto at = first;
        for (int n = 1; n < tries && at < length_ms; ++n)
            at += retry_after_s(at, id) * second_ms;
        if (at < length_ms)
        {
            ++result.refused;
            continue;
        }
        ++result.served;
        ++result.served_in_second[at / second_ms];
        result.longest_wait_ms = std::max(result.longest_wait_ms, at - first);
    }
    return result;
}

class test_retry_advice : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_retry_advice);
    CPPUNIT_TEST(callers_outlast_an_outage);
    CPPUNIT_TEST(callers_do_not_come_back_at_once);
    CPPUNIT_TEST(a_short_failure_costs_one_second);
    CPPUNIT_TEST_SUITE_END();

public:
    void callers_outlast_an_outage()
    {
        for (milliseconds seconds = 1; seconds <= 10; ++seconds)
            section(std::to_string(seconds) + " s",
                    [&]
                    {
                        auto const length_ms = seconds * second_ms;
                        auto const r = play_outage(length_ms);
                        expect(r.refused == 0,
                               std::to_string(r.refused) + " callers gave up");
                        expect(r.longest_wait_ms <= 2 * length_ms + second_ms,
                               "no caller waits much longer than the outage");
                    });
    }

    void callers_do_not_come_back_at_once()
    {
        auto const r = play_outage(6 * second_ms);
        expect(r.served_in_second.size() >= 5, "over several seconds");
        for (auto const& [second, count] : r.served_in_second)
            expect(count <= r.served / 2,
                   "not most of them in second " + std::to_string(second));
    }

    void a_short_failure_costs_one_second()
    {
        expect(retry_after_s(0, "a") == 1 && retry_after_s(0, "b") == 1,
               "the log is expected back at once");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_retry_advice);

} // namespace
