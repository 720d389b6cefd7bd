/// \file
/// Following a topic at rest, and reading it at once when a caller asks.

#include "memory_platform.hpp"
#include "section.hpp"

#include <jasminetrack/entry/topic_follower.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace jasminetrack;
using namespace jasminetrack::entry;
using support::expect;
using support::section;

constexpr milliseconds long_ms = 60'000;
constexpr milliseconds most_wait_ms = 10'000;
constexpr milliseconds short_ms = 50;

/// Counts what a follower tells.
class counted
{
public:
    counted(support::memory_log& log, poll_settings poll)
        : follower(log, topic::jobs, poll,
                   {[this](std::vector<log_entry> const& entries, std::int64_t,
                           bool) { seen += std::ssize(entries); },
                    [this](std::string const&) { ++failures; }})
    {
        follower.start();
    }
    ~counted()
    {
        follower.stop();
    }

    std::atomic<std::int64_t> seen{0};
    std::atomic<int> failures{0};
    topic_follower follower;
};

class test_topic_follower : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_topic_follower);
    CPPUNIT_TEST(a_rest_ends_when_a_caller_asks);
    CPPUNIT_TEST(an_outage_does_not_hold_a_caller_up);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_rest_ends_when_a_caller_asks()
    {
        support::memory_log log;
        counted f(log, {short_ms, long_ms});
        for (int i = 1; i <= 5; ++i)
        {
            log.put(topic::jobs, "job" + std::to_string(i), "1");
            expect(f.follower.refresh(most_wait_ms), "answered");
            // A read that waits at the log brings the entry a moment later.
            while (f.seen < i && f.failures == 0)
                expect(f.follower.refresh(most_wait_ms), "again");
            expect(f.seen == i, "known");
        }
    }

    void an_outage_does_not_hold_a_caller_up()
    {
        support::memory_log log;
        counted f(log, {short_ms, long_ms});
        log.put(topic::jobs, "job", "1");
        while (f.seen < 1)
            (void)f.follower.refresh(most_wait_ms);
        log.set_down(true);
        section("it is told that the log was not read",
                [&]
                {
                    while (f.failures == 0)
                        (void)f.follower.refresh(short_ms);
                    expect(!f.follower.refresh(short_ms), "not refreshed");
                });
        section("and the topic is followed again afterwards",
                [&]
                {
                    log.set_down(false);
                    log.put(topic::jobs, "job2", "1");
                    while (f.seen < 2)
                        (void)f.follower.refresh(most_wait_ms);
                    expect(f.seen == 2, "known");
                });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_topic_follower);

} // namespace
