/// \file
/// The clock by which leases and roles age, on a machine that is suspended.
/// This program replaces clock_gettime, so that a test can suspend it.

#include "section.hpp"

#include <jasminetrack/runtime/timer_service.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>

#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

namespace
{

std::atomic<std::int64_t> suspended_s = 0;

} // namespace

extern "C" int clock_gettime(clockid_t clock, timespec* into) noexcept
{
    auto const result =
        static_cast<int>(syscall(SYS_clock_gettime, clock, into));
    if (result == 0 && clock == CLOCK_BOOTTIME)
        into->tv_sec += suspended_s;
    return result;
}

namespace
{

using jasminetrack::runtime::monotonic_ms;
using support::expect;
using support::section;

constexpr std::int64_t suspension_ms = 8'000;

class test_suspension : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_suspension);
    CPPUNIT_TEST(ages_count_the_time_of_a_suspension);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against two runs of one task (TWICE): a dispatcher that was
    /// suspended takes its proof of the role for younger than it is.
    void ages_count_the_time_of_a_suspension()
    {
        using clock = std::chrono::steady_clock;
        auto const before = monotonic_ms();
        auto const steady_before = clock::now();
        suspended_s = suspension_ms / 1'000;
        auto const steady_took = clock::now() - steady_before;
        section("the steady clock does not",
                [&]
                {
                    expect(steady_took <
                               std::chrono::milliseconds(suspension_ms),
                           "it stood still");
                });
        section("the clock of leases and roles does",
                [&] {
                    expect(monotonic_ms() - before >= suspension_ms,
                           "it went on");
                });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_suspension);

} // namespace
