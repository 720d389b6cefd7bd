#include <jasminetrack/tasks/worker_pace.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace jasminetrack::tasks
{
namespace
{

/// Fewer tasks tell too little about their step.
constexpr std::size_t durations_least = 3;
constexpr std::size_t durations_most = 64;
/// Weight of the newest task; the one before it counts the rest of that.
constexpr double newest_weight = 0.6;
/// Tasks of one step differ; so many together tell the kind of machine.
constexpr int tasks_least = 4;
constexpr int tasks_most = 20;
/// Within the slack that an urgent task has after its stops and its start.
constexpr double slower_factor = 1.12;
constexpr double crawling_factor = 2;
/// One task can not tell more than this about its worker.
constexpr double factor_most = 16;
/// A worker that crawled is tried again after this time.
constexpr milliseconds crawling_rest_ms = 8'000;
/// Percentages are whole numbers: fewer points project too roughly.
constexpr std::int64_t points_least = 20;
constexpr std::int64_t hundred = 100;

} // namespace

char const* to_text(worker_speed s) noexcept
{
    constexpr std::array names{"usual", "slower", "crawling"};
    return names[static_cast<std::size_t>(s)];
}

std::optional<milliseconds> step_durations::median() const
{
    if (sorted_.size() < durations_least)
        return std::nullopt;
    return sorted_[sorted_.size() / 2];
}

void step_durations::add(milliseconds took)
{
    if (sorted_.size() >= durations_most)
        return;
    sorted_.insert(std::upper_bound(sorted_.begin(), sorted_.end(), took),
                   took);
}

worker_speed worker_pace::speed(milliseconds now) const noexcept
{
    if (std::exp(log_newest_) >= crawling_factor &&
        now - noted_at_ <= crawling_rest_ms)
        return worker_speed::crawling;
    return tasks_ >= tasks_least && factor() >= slower_factor
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
    auto const bounded = std::clamp(ratio, 1 / factor_most, factor_most);
    auto const value = std::log(bounded);
    tasks_ = std::min(tasks_ + 1, tasks_most);
    log_mean_ += (value - log_mean_) / tasks_;
    log_newest_ += newest_weight * (value - log_newest_);
    noted_at_ = now;
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
    if (taken_ || points < points_least)
        return std::nullopt;
    taken_ = true;
    return (newest_ms_ - base_ms_) * hundred / points;
}

} // namespace jasminetrack::tasks
