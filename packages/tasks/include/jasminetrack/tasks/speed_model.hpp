#pragma once
/// \file
/// Estimates the factors of workers from runs in groups of equal work. The
/// logarithm of a run's duration is the sum of its group's, its worker's and a
/// random part; both unknown parts are found by turns. Medians over the other
/// workers of a group, and the removal of far samples, keep single long tasks
/// from counting.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jasminetrack::tasks
{

/// The duration of one run.
struct duration_sample
{
    std::size_t group = 0;
    double log_duration = 0; ///< logarithm, in any unit of time
    double variance = 0;     ///< of the logarithm, due to its measurement
};

/// A worker and its runs.
struct sampled_worker
{
    std::string service; ///< factors are relative to the usual one of it
    std::string kind;    ///< workers of a kind may have the same speed
    std::optional<double> assumed; ///< logarithm of the factor before samples
    std::vector<duration_sample> samples;
};

/// Posterior of a worker's factor.
struct worker_effect
{
    std::int64_t samples = 0; ///< that could be compared and agree
    double log_factor = 0;
    double spread = 0; ///< standard deviation of log_factor
    double prior = 0;  ///< logarithm of the factor assumed without samples
    /// Whether the prior comes from workers of the kind that agree.
    bool has_kind_prior = false;
    double sampled = 0; ///< logarithm of the factor by the samples alone
};

/// \param groups  number of groups
/// \returns the effects in the order of the workers.
[[nodiscard]] std::vector<worker_effect>
estimate_effects(std::vector<sampled_worker> const& workers,
                 std::size_t groups);

} // namespace jasminetrack::tasks
