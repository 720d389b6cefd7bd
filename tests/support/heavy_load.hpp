#pragma once
/// \file
/// A day on which more work comes than the workers can do: bursts of urgent
/// gangs, long gangs of middle priority and many small tasks of the lowest.

#include "dispatch_simulation.hpp"

namespace support
{

/// Credit of one queue: a job counts by its work, in full if it is completed
/// within its objective, in part if within three.
struct queue_credit
{
    double earned = 0;
    double owed = 0;

    [[nodiscard]] double share() const noexcept
    {
        return owed > 0 ? earned / owed : 1;
    }
};

class heavy_load_simulation
{
public:
    explicit heavy_load_simulation(unsigned seed);

    [[nodiscard]] dispatch_simulation& simulation() noexcept
    {
        return simulation_;
    }
    /// Credit by queue: "urgent", "middle" and "low".
    [[nodiscard]] std::map<std::string, queue_credit> credits() const;

    /// Plays the day to its end.
    void run();

private:
    struct job_kind
    {
        char const* queue;
        double per_second;
        std::int64_t count_most;
        resources each; ///< accelerators: 0 for any size
        milliseconds work_least_ms;
        milliseconds work_most_ms;
        bool gang;
        double same_rack; ///< share of the jobs
        bool bursts;      ///< comes faster for a while
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
    [[nodiscard]] double uniform(double least, double most);

    std::mt19937 random_;
    dispatch_simulation simulation_;
    configuration config_;
    std::map<std::string, submitted_job> jobs_;
};

} // namespace support
