/// \file
/// What callers of each queue get while more work comes than can be done.

#include "heavy_load.hpp"
#include "section.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace support;

/// The floor for each queue on the heavier of the days of issue 16.
constexpr double queue_floor = 0.28;
constexpr unsigned seeds = 10;

class test_heavy_load : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_heavy_load);
    CPPUNIT_TEST(bursts_of_urgent_work_do_not_starve_the_other_queues);
    CPPUNIT_TEST_SUITE_END();

public:
    void bursts_of_urgent_work_do_not_starve_the_other_queues()
    {
        std::string starved;
        for (unsigned seed = 1; seed <= seeds; ++seed)
        {
            heavy_load_simulation load(seed);
            load.run();
            expect(load.simulation().violations().empty(),
                   "every rule was kept");
            for (auto const& [queue, credit] : load.credits())
                if (credit.share() < queue_floor)
                    starved += " seed " + std::to_string(seed) + " " + queue +
                               " " + std::to_string(credit.share());
        }
        expect(starved.empty(), "below the floor:" + starved);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_heavy_load);

} // namespace
