/// \file
/// Until when leases last by the proofs of the dispatcher's role.

#include "section.hpp"

#include <jasminetrack/tasks/role_proof.hpp>

namespace
{

using namespace support;
using namespace jasminetrack::tasks;

constexpr milliseconds taken_at = 100'000;
constexpr milliseconds lease_ms = 6'000;
constexpr milliseconds second_ms = 1'000;

class test_role_proof : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_role_proof);
    CPPUNIT_TEST(leases_end_by_the_newest_proof);
    CPPUNIT_TEST(a_survey_proves_leases_and_no_starts);
    CPPUNIT_TEST(earlier_leases_end_by_the_proof_before);
    CPPUNIT_TEST_SUITE_END();

public:
    void leases_end_by_the_newest_proof()
    {
        role_proof role({}, taken_at);
        expect(role.grantable_lease(taken_at) == lease_ms, "the whole lease");
        expect(role.grantable_lease(taken_at + second_ms) ==
                   lease_ms - second_ms,
               "less with an older proof");
        expect(role.grantable_lease(taken_at + 7 * second_ms) < 0, "none");
        role.on_confirmed(taken_at + 7 * second_ms);
        expect(role.grantable_lease(taken_at + 7 * second_ms) == lease_ms,
               "the whole lease with a new one");
        expect(role.proven_since() == taken_at + 7 * second_ms, "after a gap");
    }

    void a_survey_proves_leases_and_no_starts()
    {
        role_proof role({}, taken_at);
        auto const now = taken_at + 10 * second_ms;
        role.on_outage_confirmed(now);
        expect(role.grantable_lease(now) == lease_ms, "leases go on");
        expect(!role.may_start(now, second_ms), "nothing is started");
        expect(!role.is_proven(now), "nothing is repeated");
    }

    void earlier_leases_end_by_the_proof_before()
    {
        // 6 s on a clock that is 2 % slow: 6,000 / 0.98 = 6,122.4 ms.
        constexpr milliseconds drift_ms = 123;
        role_proof role({}, taken_at);
        role.on_earlier_proof(taken_at - second_ms);
        expect(role.earlier_leases_end() ==
                   taken_at - second_ms + lease_ms + drift_ms,
               "a lease and the drift of the clocks later");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_role_proof);

} // namespace
