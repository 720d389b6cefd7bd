#pragma once
/// \file
/// Arrivals of jobs for the policy benchmark: one seed, one course.

#include <jasminetrack/core/config.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace bench
{

namespace core = jasminetrack::core;
using core::milliseconds;

/// A class of jobs in the mix.
struct job_mix
{
    std::string name;
    std::string team;
    core::shape gang;
    core::capacity_source draws_on = core::capacity_source::spare;
    double per_hour = 1;
    double mean_run_min = 10;
    double checkpoint_s = 1;
};

/// One association's region and load.
struct deployment
{
    std::string name;
    int workers = 48;
    int per_rack = 8;
    double completion_weight = 0.5;
    double fragmentation_weight = 0.5;
    std::vector<core::team> teams;
    std::vector<job_mix> mix;
};

[[nodiscard]] deployment verband();
[[nodiscard]] deployment zeildoek();

struct arrival
{
    milliseconds at_ms = 0;
    std::size_t mix = 0; ///< index into the deployment's mix
    milliseconds run_ms = 0;
};

/// \returns the arrivals of `hours` hours, by time.
[[nodiscard]] std::vector<arrival>
draw_arrivals(deployment const& d, std::uint32_t seed, double hours);

} // namespace bench
