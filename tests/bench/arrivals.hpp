#pragma once
/// \file
/// Job arrivals for the policy benchmark. Equal seeds give equal arrivals.

#include <jasminetrack/core/config.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace bench
{

namespace core = jasminetrack::core;
using core::milliseconds;

/// A job class with its arrival rate and mean duration.
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

/// Region, teams and load of one deployment.
struct deployment
{
    std::string name;
    int workers = 48;
    int per_rack = 8; ///< workers per rack
    double completion_weight = 0.5;
    double fragmentation_weight = 0.5;
    std::vector<core::team> teams;
    std::vector<job_mix> mix;
};

[[nodiscard]] deployment verband_deployment();
[[nodiscard]] deployment zeildoek_deployment();

/// Arrival of one job.
struct arrival
{
    milliseconds at_ms = 0;
    std::size_t mix = 0; ///< index into the deployment's mix
    milliseconds run_ms = 0;
};

/// \returns the arrivals within `hours`, in order of time: exponential gaps and
/// log-normal run times.
[[nodiscard]] std::vector<arrival>
generate_arrivals(deployment const& d, std::uint32_t seed, double hours);

} // namespace bench
