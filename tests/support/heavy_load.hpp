#pragma once
/// \file
/// A simulation with more work than the workers can complete: bursts of urgent
/// gangs, long gangs of middle priority, and many small tasks of the lowest
/// priority.

#include "dispatch_simulation.hpp"

namespace support
{

/// Credit of one queue. A job earns its full credit, which grows with its work,
/// if it completes within its objective, and a part of it if it completes
/// within three times its objective.
struct queue_credit
{
    double earned = 0;
    double possible = 0;

    [[nodiscard]] double share() const noexcept
    {
        return possible > 0 ? earned / possible : 1;
    }
};

/// Submits random jobs and records when they complete.
class heavy_load_simulation
{
public:
    explicit heavy_load_simulation(unsigned seed);

    [[nodiscard]] dispatch_simulation& simulation() noexcept
    {
        return simulation_;
    }
    /// \returns the credit by queue: "urgent", "middle" and "low".
    [[nodiscard]] std::map<std::string, queue_credit> credits() const;

    /// Runs the whole simulation: traffic, then time to finish.
    void run();

private:
    struct job_kind
    {
        char const* queue;
        double per_second;
        std::int64_t max_count;
        resources per_task; ///< 0 accelerators: a random number
        milliseconds min_work_ms;
        milliseconds max_work_ms;
        bool gang;
        double same_rack; ///< probability
        bool bursts;      ///< arrives faster during the burst
    };
    struct submitted_job
    {
        std::string queue;
        milliseconds submitted = 0;
        milliseconds objective_ms = 0;
        double work = 0; ///< accelerator milliseconds
        milliseconds completed = -1;
    };

    [[nodiscard]] static std::vector<job_kind> const& kinds();
    void submit_due(milliseconds at);
    void submit(job_kind const& k);
    void record_completed();
    [[nodiscard]] double uniform(double min, double max);

    std::mt19937 random_;
    dispatch_simulation simulation_;
    configuration config_;
    std::map<std::string, submitted_job> jobs_;
};

} // namespace support
