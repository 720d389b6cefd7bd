#include <jasminetrack/tasks/worker_pace.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace jasminetrack::tasks
{
namespace
{

/// Fewer durations do not give a reliable median.
constexpr std::size_t min_durations = 3;
constexpr std::size_t max_durations = 64;
/// Weight of the latest task in the moving average.
constexpr double newest_weight = 0.6;
/// Durations within a step vary; fewer tasks do not show the kind of machine.
constexpr int min_tasks = 4;
/// Bounds the weight of the past in the mean.
constexpr int max_tasks_in_mean = 20;
/// Less than the slack that an urgent task has after stops and its start.
constexpr double slower_factor = 1.12;
constexpr double crawling_factor = 2;
/// Bounds the influence of a single task.
constexpr double max_factor = 16;
/// A crawling worker is tried again after this time.
constexpr milliseconds crawling_avoidance_ms = 8'000;
/// Percentages are whole numbers; fewer points give an inaccurate projection.
constexpr std::int64_t min_percent_points = 20;
constexpr std::int64_t hundred = 100;

} // namespace

char const* to_text(worker_speed s) noexcept
{
    constexpr std::array names{"usual", "slower", "crawling"};
    return names[static_cast<std::size_t>(s)];
}

std::optional<milliseconds> step_durations::median() const
{
    if (sorted_.size() < min_durations)
        return std::nullopt;
    return sorted_[sorted_.size() / 2];
}

void step_durations::add(milliseconds took)
{
    if (sorted_.size() >= max_durations)
        return;
    sorted_.insert(std::upper_bound(sorted_.begin(), sorted_.end(), took),
                   took);
}

worker_speed worker_pace::speed(milliseconds now) const noexcept
{
    if (std::exp(log_newest_) >= crawling_factor &&
        now - sampled_at_ <= crawling_avoidance_ms)
        return worker_speed::crawling;
    return tasks_ >= min_tasks && factor() >= slower_factor
               ? worker_speed::slower
               : worker_speed::usual;
}

double worker_pace::factor() const noexcept
{
    return std::exp(log_mean_);
}

void worker_pace::add_sample(milliseconds now, milliseconds took,
                             milliseconds usual) noexcept
{
    if (took <= 0 || usual <= 0)
        return;
    auto const ratio = static_cast<double>(took) / static_cast<double>(usual);
    auto const bounded = std::clamp(ratio, 1 / max_factor, max_factor);
    auto const value = std::log(bounded);
    tasks_ = std::min(tasks_ + 1, max_tasks_in_mean);
    log_mean_ += (value - log_mean_) / tasks_;
    log_newest_ += newest_weight * (value - log_newest_);
    sampled_at_ = now;
}

void run_progress::update(milliseconds clock_ms, std::int64_t percent) noexcept
{
    if (base_ms_ < 0)
    {
        base_ms_ = clock_ms;
        base_percent_ = percent;
    }
    newest_ms_ = clock_ms;
    newest_percent_ = percent;
}

std::optional<milliseconds> run_progress::take_projected_duration() noexcept
{
    auto const points = newest_percent_ - base_percent_;
    if (projected_ || points < min_percent_points)
        return std::nullopt;
    projected_ = true;
    return (newest_ms_ - base_ms_) * hundred / points;
}

} // namespace jasminetrack::tasks
