/// \file
/// Overload: waiting work kept its order by age, so that a few large jobs made
/// many small ones late, and jobs were accepted that could not end before they
/// expired.

#include "overload.hpp"
#include "section.hpp"

#include <jasminetrack/tasks/cost_of_delay.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

namespace
{

using namespace support;

class test_load_shedding : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_load_shedding);
    CPPUNIT_TEST(callers_get_more_in_an_overload);
    CPPUNIT_TEST_SUITE_END();

public:
    void callers_get_more_in_an_overload()
    {
        for (bool on : {false, true})
        {
            std::map<std::int64_t, caller_results> sum;
            for (unsigned seed = 1; seed <= 6; ++seed)
            {
                overload_simulation load(seed, on);
                load.run();
                expect(load.violations().empty(), "no invariant is violated");
                for (auto const& [priority, r] : load.results())
                {
                    auto& s = sum[priority];
                    s.in_time += r.in_time;
                    s.late += r.late;
                    s.expired += r.expired;
                    s.rejected += r.rejected;
                }
            }
            for (auto const& [p, s] : sum)
                std::cerr << on << " " << p << " in_time " << s.in_time
                          << " late " << s.late << " expired " << s.expired
                          << " rejected " << s.rejected << "\n";
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_load_shedding);

} // namespace
