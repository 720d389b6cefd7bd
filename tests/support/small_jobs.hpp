#pragma once
/// \file
/// Queues, jobs and workers that the dispatcher's tests share.

#include "dispatch_simulation.hpp"

namespace support
{

/// Paths of the queues.
inline constexpr char const* urgent_prefix = "/u/";
inline constexpr char const* batch_prefix = "/b/";

/// \returns a configuration with one urgent and one low-priority queue.
inline configuration two_queues()
{
    configuration c;
    c.version = 1;
    queue urgent{"urgent", "h", urgent_prefix, "service", 0, 4, 1.5, 400};
    queue batch{"batch", "h", batch_prefix, "service", 2, 3, 3, 3000};
    c.queues = {urgent, batch};
    c.teams = {{"team", {"key"}, 16}};
    return c;
}

/// \returns a job of one step whose tasks run independently.
inline job_spec simple_job(std::int64_t count, std::int64_t accelerators)
{
    job_spec spec;
    step_spec step;
    step.count = count;
    step.need = {1'000, 1'000, accelerators};
    step.estimate_ms = 1'000;
    spec.steps = {step};
    return spec;
}

/// \returns a job of one gang.
inline job_spec gang_job(std::int64_t count, std::int64_t accelerators)
{
    auto spec = simple_job(count, accelerators);
    spec.steps[0].gang = true;
    return spec;
}

/// Adds two racks of four workers with 8 accelerators each.
inline void add_racks(dispatch_simulation& w)
{
    w.configure(two_queues());
    for (int i = 0; i < 8; ++i)
        w.add_worker("w" + std::to_string(i), i < 4 ? "r1" : "r2",
                     {64'000, 128'000, 8});
}

} // namespace support
