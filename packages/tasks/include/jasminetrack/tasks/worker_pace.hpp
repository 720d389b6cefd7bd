#pragma once
/// \file
/// Learns how fast workers are from how far their tasks have come. Answers
/// the load of deployments with machines of several speeds, and of workers
/// that turn slow for a while: an urgent task on a slow one comes late.

#include <jasminetrack/tasks/model.hpp>

#include <map>
#include <vector>

namespace jasminetrack::tasks
{

/// How long the tasks of one step take, of those that were seen so far. They
/// differ little from each other, whatever the step's estimate is worth.
class step_durations
{
public:
    /// \returns the median of the others, or nothing while they are too few.
    [[nodiscard]] std::optional<milliseconds> median() const;

    void add(milliseconds took);

private:
    std::vector<milliseconds> sorted_;
};

/// How much longer tasks take on a worker than elsewhere.
enum class worker_speed : std::uint8_t
{
    usual,
    slower,   ///< enough to make an urgent task late
    crawling, ///< so slow that something is wrong with it
};

[[nodiscard]] char const* to_text(worker_speed s) noexcept;

/// The speed of one worker, from the tasks that ran there.
class worker_pace
{
public:
    [[nodiscard]] worker_speed speed(milliseconds now) const noexcept;
    /// \returns how many times as long as elsewhere tasks take here.
    [[nodiscard]] double factor() const noexcept;

    /// \param took   how long a task takes here
    /// \param usual  how long others of its step take
    void add_sample(milliseconds now, milliseconds took,
                    milliseconds usual) noexcept;

private:
    double log_mean_ = 0;   ///< of all tasks: what kind of machine it is
    double log_newest_ = 0; ///< of the last ones: how it does now
    int tasks_ = 0;
    milliseconds noted_at_ = 0;
};

/// How far a run has come, as its worker lists it.
class run_progress
{
public:
    /// \param clock_ms  the worker's clock
    void update(milliseconds clock_ms, std::int64_t percent) noexcept;
    /// \returns once in a run how long all of it takes at this worker's speed.
    [[nodiscard]] std::optional<milliseconds>
    take_projected_duration() noexcept;

private:
    milliseconds base_ms_ = -1;
    std::int64_t base_percent_ = 0;
    milliseconds newest_ms_ = 0;
    std::int64_t newest_percent_ = 0;
    bool taken_ = false;
};

} // namespace jasminetrack::tasks
