/// \file
/// A refresh reads a topic at once, without waiting for the interval between
/// reads; it fails while the log cannot be read.

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

constexpr milliseconds long_interval_ms = 60'000;
constexpr milliseconds timeout_ms = 10'000;
constexpr milliseconds short_timeout_ms = 50;
constexpr milliseconds long_poll_ms = 50;

/// A follower that counts its entries and failed reads.
class counting_follower
{
public:
    counting_follower(support::memory_log& log, poll_settings poll)
        : follower(log, topic::jobs, poll,
                   {[this](std::vector<log_entry> const& entries, std::int64_t,
                           bool) { seen += std::ssize(entries); },
                    [this](std::string const&) { ++failures; }})
    {
        follower.start();
    }
    ~counting_follower()
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
    CPPUNIT_TEST(a_refresh_ends_the_interval);
    CPPUNIT_TEST(a_refresh_fails_during_an_outage);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_refresh_ends_the_interval()
    {
        support::memory_log log;
        counting_follower f(log, {long_poll_ms, long_interval_ms});
        for (int i = 1; i <= 5; ++i)
        {
            log.put(topic::jobs, "job" + std::to_string(i), "1");
            expect(f.follower.refresh(timeout_ms), "refreshed");
            // During a long poll, refresh() returns before the entry arrives.
            while (f.seen < i && f.failures == 0)
                expect(f.follower.refresh(timeout_ms), "refreshed again");
            expect(f.seen == i, "the entry was read");
        }
    }

    void a_refresh_fails_during_an_outage()
    {
        support::memory_log log;
        counting_follower f(log, {long_poll_ms, long_interval_ms});
        log.put(topic::jobs, "job", "1");
        while (f.seen < 1)
            (void)f.follower.refresh(timeout_ms);
        log.set_down(true);
        section("a refresh returns false",
                [&]
                {
                    while (f.failures == 0)
                        (void)f.follower.refresh(short_timeout_ms);
                    expect(!f.follower.refresh(short_timeout_ms),
                           "not refreshed");
                });
        section("the topic is read again after the outage",
                [&]
                {
                    log.set_down(false);
                    log.put(topic::jobs, "job2", "1");
                    while (f.seen < 2)
                        (void)f.follower.refresh(timeout_ms);
                    expect(f.seen == 2, "the entry was read");
                });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_topic_follower);

} // namespace
