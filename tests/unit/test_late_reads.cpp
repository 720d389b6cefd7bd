/// \file
/// The dispatcher while its node's reads of the log are behind what it wrote.

#include "dispatch_simulation.hpp"
#include "section.hpp"
#include "small_jobs.hpp"

#include <jasminetrack/entry/job_table.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace support;

class test_late_reads : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_late_reads);
    CPPUNIT_TEST(a_completed_job_does_not_run_again_for_a_repeated_request);
    CPPUNIT_TEST(an_earlier_state_of_the_log_does_not_undo_an_end);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_completed_job_does_not_run_again_for_a_repeated_request()
    {
        for (std::size_t behind = 1; behind <= 2; ++behind)
        {
            dispatch_simulation w(41);
            add_racks(w);
            w.submit("gang", "urgent", gang_job(4, 8));
            w.run_for(3'000);
            expect(w.phase("gang") == job_phase::completed, "completed");
            w.submit("next", "urgent", simple_job(1, 1));
            w.run_for(2'000);
            w.repeat("gang", behind);
            w.run_for(5'000);
            auto const records = std::to_string(behind) + " records behind";
            expect(w.starts("gang") == 4, "each member once, " + records);
            expect(w.violations().empty(), "no violation, " + records);
            section("and nothing is remembered once its end was read",
                    [&]
                    {
                        expect(w.leader().unread_final_records() == 2,
                               "both jobs");
                        w.leader().on_final_record_read("gang");
                        w.leader().on_final_record_read("next");
                        expect(w.leader().unread_final_records() == 0, "none");
                    });
        }
    }

    void an_earlier_state_of_the_log_does_not_undo_an_end()
    {
        jasminetrack::entry::job_table table;
        auto const spec = simple_job(1, 1);
        auto progress = initial_progress(spec);
        auto const queued = encode(progress);
        progress.phase = job_phase::completed;
        table.apply_job({0, "a", encode(accepted_job{"a", "q", "t", 0, spec})});
        table.apply_progress({7, "a", encode(progress)});
        table.apply_progress({5, "a", queued});
        expect(table.find("a")->phase() == job_phase::completed, "completed");
        expect(table.unfinished().empty(), "and no dispatcher takes it over");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_late_reads);

} // namespace
