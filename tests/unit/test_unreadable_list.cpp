/// \file
/// Entry nodes that cannot read the list of workers for a while. Guards
/// against starts beyond a capacity that has shrunk (LIMIT).

#include "entry_cluster.hpp"
#include "section.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace support;

/// A change of a worker that is older than this must be known at a start.
constexpr tasks::milliseconds max_unseen_ms = 4'000;
/// Longer than a start takes while calls to the log fail now and then.
constexpr tasks::milliseconds start_ms = 3'000;

class test_unreadable_list : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_unreadable_list);
    CPPUNIT_TEST(no_start_on_a_worker_that_may_have_shrunk_unseen);
    CPPUNIT_TEST_SUITE_END();

public:
    void no_start_on_a_worker_that_may_have_shrunk_unseen()
    {
        entry_cluster c(1);
        expect(c.wait_until_ready(), "ready");
        expect(c.submit("before"), "accepted");
        expect(c.wait_for_completion("before"), "the list is read");
        c.log.fail_reads(entry::topic::workers, true);
        wait_for(c, max_unseen_ms);
        auto const starts = c.workers.starts().size();
        expect(c.wait_until([&] { return c.submit("meanwhile"); }), "accepted");
        section("nothing is started on what the list said before",
                [&]
                {
                    wait_for(c, start_ms);
                    expect(c.workers.starts().size() == starts, "no start");
                });
        section("the job is done once the list is read again",
                [&]
                {
                    c.log.fail_reads(entry::topic::workers, false);
                    expect(c.wait_for_completion("meanwhile"), "completed");
                });
    }

private:
    /// Nothing tells that something does not happen, so the time passes.
    static void wait_for(entry_cluster& c, tasks::milliseconds ms)
    {
        auto const until = runtime::monotonic_ms() + ms;
        (void)c.wait_until([&] { return runtime::monotonic_ms() >= until; });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_unreadable_list);

} // namespace
