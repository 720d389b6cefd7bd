#pragma once
/// \file
/// Estimates how fast workers are from the progress of their tasks. Machines of
/// a deployment may differ in speed, and a worker may become slow for a while;
/// an urgent task on a slow worker misses its objective.

#include <jasminetrack/tasks/model.hpp>

#include <map>
#include <vector>

namespace jasminetrack::tasks
{

/// Durations of the tasks of one step so far. Tasks of one step take about the
/// same time, so they are a better reference than the step's estimate, which
/// may be far off.
class step_durations
{
public:
    /// \returns the median duration, or nothing while there are too few.
    [[nodiscard]] std::optional<milliseconds> median() const;

    void add(milliseconds took);

private:
    std::vector<milliseconds> sorted_;
};

/// Speed of a worker compared to the others.
enum class worker_speed : std::uint8_t
{
    usual,
    slower,   ///< enough to make an urgent task late
    crawling, ///< so slow that it must be faulty
};

[[nodiscard]] char const* to_text(worker_speed s) noexcept;

/// Speed estimate of one worker.
class worker_pace
{
public:
    [[nodiscard]] worker_speed speed(milliseconds now) const noexcept;
    /// \returns the ratio of task durations here to those elsewhere.
    [[nodiscard]] double factor() const noexcept;

    /// \param took   duration of a task on this worker
    /// \param usual  median duration of the tasks of its step
    void add_sample(milliseconds now, milliseconds took,
                    milliseconds usual) noexcept;

private:
    /// Mean of the logarithms of the ratios; reflects the type of machine.
    double log_mean_ = 0;
    /// As log_mean_, weighted towards the newest samples; reflects the current
    /// condition of the machine.
    double log_newest_ = 0;
    int tasks_ = 0;
    milliseconds sampled_at_ = 0;
};

/// Progress reports of one run, from which its total duration is projected.
class run_progress
{
public:
    /// \param clock_ms  the worker's clock when it reported
    /// \param percent   of the work that is done
    void update(milliseconds clock_ms, std::int64_t percent) noexcept;
    /// \returns how long the whole run takes at the present speed, once there
    /// is enough progress; only the first such call returns a value.
    [[nodiscard]] std::optional<milliseconds>
    take_projected_duration() noexcept;

private:
    milliseconds base_ms_ = -1;
    std::int64_t base_percent_ = 0;
    milliseconds newest_ms_ = 0;
    std::int64_t newest_percent_ = 0;
    bool projected_ = false;
};

} // namespace jasminetrack::tasks
