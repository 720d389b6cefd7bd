/// \file
/// Random days of a fleet with tasks that crash their workers and capacities
/// that change, together with one class of disturbances each.

#include "random_fleet.hpp"
#include "section.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>

namespace
{

using namespace support;

unsigned from_environment(char const* name, unsigned fallback)
{
    auto const* text = std::getenv(name);
    return text ? static_cast<unsigned>(std::atoi(text)) : fallback;
}

/// Plays days of one profile and counts those with each kind of violation.
class profile_result
{
public:
    void play(unsigned seed, fleet_profile const& profile, std::ostream* trace)
    {
        random_fleet fleet(seed, profile);
        fleet.world().trace_to(trace);
        fleet.run();
        std::set<std::string> kinds;
        for (auto const& v : fleet.world().violations())
            if (kinds.insert(to_text(v.kind)).second)
                note(seed, to_text(v.kind), v.text);
        for (auto const& job : fleet.unfinished())
            if (kinds.insert("unfinished").second)
                note(seed, "unfinished", job);
    }
    [[nodiscard]] bool is_clean() const noexcept
    {
        return days_.empty();
    }
    /// \returns the days with each kind, and an example.
    [[nodiscard]] std::string summary() const
    {
        std::string text;
        for (auto const& [kind, days] : days_)
            text += "\n    " + kind + ": " + std::to_string(days) +
                    ", such as " + examples_.at(kind);
        return text;
    }

private:
    void note(unsigned seed, std::string const& kind, std::string const& text)
    {
        ++days_[kind];
        examples_.emplace(kind, "seed " + std::to_string(seed) + ": " + text);
    }

    std::map<std::string, int> days_;
    std::map<std::string, std::string> examples_;
};

class test_random_fleet : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_random_fleet);
    CPPUNIT_TEST(random_days_violate_no_invariant);
    CPPUNIT_TEST_SUITE_END();

public:
    void random_days_violate_no_invariant()
    {
        for (auto const& profile : fleet_profiles())
            section(profile.name, [&] { play(profile); });
    }

private:
    /// JASMINETRACK_PROFILE selects one profile, JASMINETRACK_TRACE prints what
    /// happens.
    static void play(fleet_profile const& profile)
    {
        auto const* only = std::getenv("JASMINETRACK_PROFILE");
        if (only && profile.name != only)
            return;
        auto const first_seed = from_environment("JASMINETRACK_SEED", 1);
        auto const seeds = from_environment("JASMINETRACK_SEEDS", 5);
        auto* const trace =
            std::getenv("JASMINETRACK_TRACE") ? &std::cout : nullptr;
        profile_result result;
        for (auto seed = first_seed; seed < first_seed + seeds; ++seed)
            result.play(seed, profile, trace);
        if (only)
            std::cout << " [" << profile.name << ", seeds " << first_seed
                      << " to " << first_seed + seeds - 1 << "]"
                      << result.summary();
        expect(result.is_clean(), "no violation, but:" + result.summary());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_random_fleet);

} // namespace
