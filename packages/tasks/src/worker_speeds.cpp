#include <jasminetrack/tasks/worker_speeds.hpp>

#include <jasminetrack/tasks/speed_model.hpp>

#include <algorithm>
#include <cmath>
#include <set>

namespace jasminetrack::tasks
{
namespace
{

constexpr milliseconds update_interval_ms = 1'000;
/// Runs that are kept of each worker, the newest ones.
constexpr std::size_t max_samples = 16;
/// A run without a report for this time, beyond the interval of renewals, has
/// ended, so that a newer one may replace it.
constexpr milliseconds max_running_age_ms = 3'500;
/// Workers without a report for this time are forgotten.
constexpr milliseconds max_silence_ms = 600'000;
/// Percentages are whole numbers; the variance of their difference.
constexpr std::int64_t min_percent_points = 4;
constexpr double rounding_variance = 1.0 / 6;
/// Delay between a report and the moment to which its percentage applies.
constexpr double report_delay_ms = 150;
constexpr std::int64_t complete_percent = 100;
/// Less than the slack that an urgent task has after stops and its start.
constexpr double slower_factor = 1.12;
/// A worker that counts as slower stays so above this factor, so that its
/// estimate does not move to and fro between the speeds.
constexpr double still_slower_factor = 1.08;
/// Standard errors by which a worker must differ from the usual one to become
/// slower; where alike tasks differ much, more samples are needed.
constexpr double min_errors = 2;
/// One run may be a long task.
constexpr std::int64_t min_samples = 2;
/// With so many samples, what was assumed before them is dropped.
constexpr std::int64_t sufficient_samples = 4;
constexpr double thousand = 1'000;

double squared(double x) noexcept
{
    return x * x;
}

/// \returns whether the effect may replace what is known. Without samples that
/// can be compared, the speed that earlier samples showed stays.
bool is_evident(worker_effect const& e, speed_estimate const& known) noexcept
{
    return e.samples >= min_samples ||
           (e.has_kind_prior && known.samples < min_samples);
}

speed_estimate to_estimate(worker_effect const& e, worker_speed before)
{
    speed_estimate s;
    s.samples = e.samples;
    s.factor = std::exp(e.log_factor);
    s.spread = e.spread;
    s.prior = std::exp(e.prior);
    bool const is_slower = before == worker_speed::slower
                               ? s.factor >= still_slower_factor
                               : s.factor >= slower_factor &&
                                     e.log_factor >= min_errors * e.spread;
    s.speed = is_slower ? worker_speed::slower : worker_speed::usual;
    return s;
}

} // namespace

worker_speeds::sample* worker_speeds::sample_of(milliseconds now, evidence& e,
                                                speed_report const& r)
{
    auto const known = std::find_if(
        e.samples.rbegin(), e.samples.rend(),
        [&](sample const& s)
        { return s.index == r.index && s.run == r.run && s.group == r.group; });
    if (known != e.samples.rend())
        return &*known;
    if (r.percent >= complete_percent)
        return nullptr;
    if (e.samples.size() >= max_samples)
    {
        auto const oldest =
            std::find_if(e.samples.begin(), e.samples.end(),
                         [&](sample const& s)
                         { return now - s.updated_at > max_running_age_ms; });
        if (oldest == e.samples.end())
            return nullptr;
        e.samples.erase(oldest);
    }
    e.samples.push_back({r.group, r.index, r.run, r.clock_ms, r.percent,
                         r.clock_ms, r.percent, now});
    return &e.samples.back();
}

void worker_speeds::observe(milliseconds now, speed_report const& r)
{
    auto& e = workers_[r.worker];
    if (e.incarnation != r.incarnation)
        e = {};
    e.incarnation = r.incarnation;
    e.service = r.service;
    e.kind = r.kind;
    e.updated_at = now;
    // A member that has completed waits for the rest of its gang.
    if (r.group.gang_run != 0 && r.percent >= complete_percent)
        return;
    auto* const s = sample_of(now, e, r);
    if (!s || r.percent < s->newest_percent)
        return;
    s->newest_ms = r.clock_ms;
    s->newest_percent = r.percent;
    s->updated_at = now;
    has_new_samples_ = true;
}

void worker_speeds::assume(milliseconds now,
                           std::vector<slower_worker> const& slower)
{
    for (auto const& s : slower)
    {
        if (s.permille <= 0)
            continue;
        auto& e = workers_[s.worker];
        e = {};
        e.incarnation = s.incarnation;
        e.updated_at = now;
        auto const factor = static_cast<double>(s.permille) / thousand;
        e.assumed = std::log(factor);
        e.estimate.speed = worker_speed::slower;
        e.estimate.factor = e.estimate.prior = factor;
    }
    update_slow_factor();
}

void worker_speeds::forget_old(milliseconds now)
{
    std::erase_if(workers_, [&](auto const& entry)
                  { return now - entry.second.updated_at > max_silence_ms; });
}

std::vector<speed_change> worker_speeds::update(milliseconds now)
{
    if (!has_new_samples_ || now - updated_at_ < update_interval_ms)
        return {};
    has_new_samples_ = false;
    updated_at_ = now;
    forget_old(now);
    std::map<speed_group, std::size_t> groups;
    std::vector<sampled_worker> sampled;
    for (auto const& [id, e] : workers_)
    {
        sampled.push_back({e.service, e.kind, e.assumed, {}});
        for (auto const& s : e.samples)
        {
            auto const points = s.newest_percent - s.base_percent;
            auto const took = s.newest_ms - s.base_ms;
            if (points < min_percent_points || took <= 0)
                continue;
            auto const group =
                groups.try_emplace(s.group, groups.size()).first->second;
            auto const whole =
                static_cast<double>(took) / static_cast<double>(points);
            sampled.back().samples.push_back(
                {group, std::log(whole),
                 rounding_variance / squared(static_cast<double>(points)) +
                     squared(report_delay_ms / static_cast<double>(took))});
        }
    }
    auto const effects = estimate_effects(sampled, groups.size());
    std::vector<speed_change> changes;
    auto effect = effects.begin();
    for (auto& [id, e] : workers_)
    {
        auto const& now_known = *effect++;
        if (!is_evident(now_known, e.estimate))
            continue;
        auto const before = e.estimate.speed;
        e.estimate = to_estimate(now_known, before);
        if (now_known.samples >= sufficient_samples)
            e.assumed.reset();
        if (e.estimate.speed != before)
            changes.push_back({id, e.estimate});
    }
    update_slow_factor();
    return changes;
}

void worker_speeds::update_slow_factor()
{
    std::vector<double> factors;
    for (auto const& [id, e] : workers_)
        if (e.estimate.speed == worker_speed::slower)
            factors.push_back(e.estimate.factor);
    slow_factor_ = 1;
    if (factors.empty())
        return;
    auto const middle = factors.begin() + std::ssize(factors) / 2;
    std::nth_element(factors.begin(), middle, factors.end());
    slow_factor_ = *middle;
}

speed_estimate worker_speeds::estimate_of(std::string const& worker,
                                          std::int64_t incarnation) const
{
    auto const at = workers_.find(worker);
    return at == workers_.end() || at->second.incarnation != incarnation
               ? speed_estimate{}
               : at->second.estimate;
}

std::vector<slower_worker> worker_speeds::slower_workers() const
{
    std::vector<slower_worker> list;
    for (auto const& [id, e] : workers_)
        if (e.estimate.speed == worker_speed::slower)
            list.push_back(
                {id, e.incarnation,
                 static_cast<std::int64_t>(e.estimate.factor * thousand)});
    return list;
}

} // namespace jasminetrack::tasks
