/// \file
/// Starts by a worker list that is older than the capacity of its workers.
/// Guards against starts beyond a capacity (LIMIT).

#include "crashing_jobs.hpp"
#include "small_jobs.hpp"

#include <jasminetrack/tasks/lease_bounds.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace support;

constexpr resources half{32'000, 64'000, 4};
/// Longer than an earlier capacity may be relied on.
constexpr milliseconds long_ago_ms = 6'000;

void shrink_all(dispatch_simulation& w)
{
    for (auto const& id : w.live_workers())
        w.set_capacity(id, half);
}

class test_outdated_list : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_outdated_list);
    CPPUNIT_TEST(the_list_cannot_be_read_while_the_log_takes_appends);
    CPPUNIT_TEST(a_placement_is_stored_after_an_outage_of_the_log);
    CPPUNIT_TEST(another_kind_of_worker_answers_before_it_is_listed);
    CPPUNIT_TEST(a_new_dispatcher_reads_a_list_from_before_an_outage);
    CPPUNIT_TEST_SUITE_END();

public:
    void the_list_cannot_be_read_while_the_log_takes_appends()
    {
        dispatch_simulation w(1);
        add_racks(w);
        w.run_for(1'000);
        w.list_down(true);
        shrink_all(w);
        w.run_for(long_ago_ms);
        w.submit("a", "urgent", simple_job(8, 8));
        w.run_for(1'000);
        expect_no_violations(w);
    }

    void a_placement_is_stored_after_an_outage_of_the_log()
    {
        simulation_faults faults;
        faults.max_list_lag_ms = 1'000;
        dispatch_simulation w(1, faults);
        add_racks(w);
        w.run_for(2'000);
        w.log_down(true);
        w.submit("a", "urgent", simple_job(8, 8));
        w.run_for(100);
        shrink_all(w);
        w.run_for(long_ago_ms);
        w.log_down(false);
        w.run_for(3'000);
        expect_no_violations(w);
    }

    void another_kind_of_worker_answers_before_it_is_listed()
    {
        simulation_faults faults;
        faults.max_list_lag_ms = 2'000;
        dispatch_simulation w(1, faults);
        w.set_comeback(comeback::same_id);
        add_racks(w);
        w.run_for(3'000);
        for (auto const& id : w.live_workers())
        {
            w.crash_for_a_while(id);
            w.set_capacity(id, half);
        }
        w.run_for(2'000);
        w.submit("a", "urgent", simple_job(8, 8));
        w.run_for(5'000);
        expect_no_violations(w);
    }

    /// Guards against starts beyond a capacity that shrank during an outage
    /// (LIMIT): a dispatcher that took over right after it took the first list
    /// that it read for current.
    void a_new_dispatcher_reads_a_list_from_before_an_outage()
    {
        constexpr milliseconds lag_ms = 2'000;
        simulation_faults faults;
        faults.max_list_lag_ms = lag_ms;
        for (unsigned seed = 1; seed <= 20; ++seed)
        {
            dispatch_simulation w(seed, faults);
            add_racks(w);
            w.run_for(2 * lag_ms);
            w.kill_leader();
            w.log_down(true);
            shrink_all(w);
            w.run_for(long_ago_ms);
            w.log_down(false);
            w.run_for(holder_timeout_ms);
            w.take_over();
            w.submit("a", "urgent", simple_job(8, 8));
            w.run_for(5'000);
            expect_no_violations(w);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_outdated_list);

} // namespace
