/// \file
/// Tests that every queue keeps completing work under overload.

#include "heavy_load.hpp"
#include "section.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace support;

/// Smallest share of its credit for each queue, as issue 16 requires it under
/// the heavier load.
constexpr double min_credit_share = 0.28;
constexpr unsigned seeds = 10;

class test_heavy_load : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_heavy_load);
    CPPUNIT_TEST(urgent_bursts_do_not_starve_other_queues);
    CPPUNIT_TEST_SUITE_END();

public:
    void urgent_bursts_do_not_starve_other_queues()
    {
        std::string starved;
        for (unsigned seed = 1; seed <= seeds; ++seed)
        {
            heavy_load_simulation load(seed);
            load.run();
            expect(load.simulation().violations().empty(),
                   "no invariant is violated");
            for (auto const& [queue, credit] : load.credits())
                if (credit.share() < min_credit_share)
                    starved += " seed " + std::to_string(seed) + " " + queue +
                               " " + std::to_string(credit.share());
        }
        expect(starved.empty(), "credit share below the minimum:" + starved);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_heavy_load);

} // namespace
