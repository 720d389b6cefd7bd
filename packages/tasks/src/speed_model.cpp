#include <jasminetrack/tasks/speed_model.hpp>

#include <algorithm>
#include <cmath>
#include <map>

namespace jasminetrack::tasks
{
namespace
{

/// Iterations of estimating groups and workers; the estimates change by less
/// than their errors after that.
constexpr int iterations = 4;
/// Standard deviation of the logarithm of the duration of alike tasks, as far
/// as the samples do not show it, and its least value.
constexpr double assumed_task_spread = 0.12;
constexpr double min_task_spread = 0.06;
/// Number of samples that count as much as the assumed value.
constexpr double task_spread_weight = 30;
/// Of the factors of workers of which nothing is known. A third of them at 1.3
/// have 0.12.
constexpr double unknown_spread = 0.15;
/// Of the factors of workers of a kind that agree.
constexpr double kind_spread = 0.07;
/// Workers of a kind agree if most of them differ less than a slower worker
/// does from the usual.
constexpr double max_kind_spread = 0.11;
constexpr double agreeing_share = 0.8;
constexpr std::size_t min_kind_workers = 4;
constexpr std::int64_t min_kind_samples = 3;
/// Factors from before the samples, such as those of an earlier dispatcher.
constexpr double assumed_spread = 0.1;
/// Tasks that differ more from the others (ln 2) have other work.
constexpr double max_deviation = 0.69;
/// Samples of one worker that differ more from its median are left out.
constexpr double max_disagreement = 0.35;
/// So many samples beyond `max_deviation`, and no other, are due to the worker.
constexpr std::size_t min_far_samples = 3;
/// Variance of a median compared to that of a mean.
constexpr double median_inefficiency = 1.57;
/// Part of the workers that is at least as fast as the usual one. A third is
/// the median of the others if a third of all is slower.
constexpr double usual_quantile = 1.0 / 3;

/// The duration of a run compared to those of other workers.
struct comparison
{
    double log_ratio = 0;
    double variance = 0;
};

/// A worker's duration in a group, without its factor.
struct group_entry
{
    double value = 0;
    std::size_t worker = 0;
};

double quantile(std::vector<double> values, double share)
{
    auto const at =
        values.begin() + static_cast<std::ptrdiff_t>(
                             share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

/// Averages two middle values.
double median_without(std::vector<group_entry> const& sorted, std::size_t left)
{
    auto const n = sorted.size() - 1;
    auto const at = [&](std::size_t i) -> double
    { return sorted[i < left ? i : i + 1].value; };
    return n % 2 == 1 ? at(n / 2) : (at(n / 2 - 1) + at(n / 2)) / 2;
}

using group_members = std::vector<group_entry>;

/// \returns the lower median of each worker's durations, by group.
std::vector<group_members>
durations_by_group(std::vector<sampled_worker> const& workers,
                   std::size_t groups)
{
    std::vector<group_members> all(groups);
    for (std::size_t w = 0; w < workers.size(); ++w)
    {
        std::map<std::size_t, std::vector<double>> own;
        for (auto const& s : workers[w].samples)
            own[s.group].push_back(s.log_duration);
        for (auto const& [group, durations] : own)
            all[group].push_back({quantile(durations, 0.5), w});
    }
    return all;
}

/// The work of a group as each of its members sees it: that of the others.
struct reference
{
    double log_duration = 0;
    double variance = 0;
};

using references = std::vector<std::map<std::size_t, reference>>;

/// \returns the references by worker and group; none for a worker alone.
references references_of(std::vector<group_members> const& groups,
                         std::vector<worker_effect> const& effects,
                         double task_variance)
{
    references all(effects.size());
    for (std::size_t g = 0; g < groups.size(); ++g)
    {
        if (groups[g].size() < 2)
            continue;
        auto sorted = groups[g];
        for (auto& entry : sorted)
            entry.value -= effects[entry.worker].log_factor;
        std::sort(sorted.begin(), sorted.end(),
                  [](group_entry const& a, group_entry const& b)
                  { return a.value < b.value; });
        auto const others = static_cast<double>(sorted.size() - 1);
        for (std::size_t i = 0; i < sorted.size(); ++i)
            all[sorted[i].worker][g] = {median_without(sorted, i),
                                        task_variance * median_inefficiency /
                                            others};
    }
    return all;
}

std::vector<comparison>
comparisons_of(sampled_worker const& w,
               std::map<std::size_t, reference> const& groups,
               double task_variance)
{
    std::vector<comparison> list;
    for (auto const& s : w.samples)
        if (auto const at = groups.find(s.group); at != groups.end())
            list.push_back({s.log_duration - at->second.log_duration,
                            s.variance + at->second.variance + task_variance});
    return list;
}

/// \returns the comparisons that show the speed of the worker.
std::vector<comparison> agreeing(std::vector<comparison> const& all)
{
    std::vector<comparison> near;
    std::vector<comparison> slow;
    for (auto const& c : all)
        if (std::abs(c.log_ratio) <= max_deviation)
            near.push_back(c);
        else if (c.log_ratio > 0)
            slow.push_back(c);
    if (near.empty())
        return slow.size() >= min_far_samples ? slow
                                              : std::vector<comparison>();
    std::vector<double> ratios;
    ratios.reserve(near.size());
    for (auto const& c : near)
        ratios.push_back(c.log_ratio);
    auto const middle = quantile(std::move(ratios), 0.5);
    std::erase_if(near,
                  [&](comparison const& c) {
                      return std::abs(c.log_ratio - middle) > max_disagreement;
                  });
    return near;
}

/// \returns the variance of alike tasks, from how far the comparisons of each
/// worker differ from each other.
double variance_of_tasks(std::vector<std::vector<comparison>> const& all)
{
    double sum = assumed_task_spread * assumed_task_spread * task_spread_weight;
    double freedom = task_spread_weight;
    for (auto const& list : all)
    {
        double mean = 0;
        for (auto const& c : list)
            mean += c.log_ratio / static_cast<double>(list.size());
        for (auto const& c : list)
            sum += (c.log_ratio - mean) * (c.log_ratio - mean);
        freedom += std::max<double>(0, static_cast<double>(list.size()) - 1);
    }
    return std::max(min_task_spread * min_task_spread, sum / freedom);
}

/// Updates an effect, whose prior is set, by the worker's comparisons.
void combine(std::vector<comparison> const& list, double prior_spread,
             worker_effect& e)
{
    double weights = 0;
    double sum = 0;
    for (auto const& c : list)
    {
        weights += 1 / c.variance;
        sum += c.log_ratio / c.variance;
    }
    auto const prior_weight = 1 / (prior_spread * prior_spread);
    e.samples = std::ssize(list);
    e.sampled = weights > 0 ? sum / weights : 0;
    e.log_factor = (sum + prior_weight * e.prior) / (weights + prior_weight);
    e.spread = std::sqrt(1 / (weights + prior_weight));
}

using kind_key = std::pair<std::string, std::string>;

/// \returns the logarithms of the factors of the kinds whose workers agree, by
/// service and kind.
std::map<kind_key, double>
kind_factors(std::vector<sampled_worker> const& workers,
             std::vector<worker_effect> const& effects)
{
    std::map<kind_key, std::vector<double>> sampled;
    for (std::size_t i = 0; i < workers.size(); ++i)
        if (effects[i].samples >= min_kind_samples && !workers[i].kind.empty())
            sampled[{workers[i].service, workers[i].kind}].push_back(
                effects[i].sampled);
    std::map<kind_key, double> factors;
    for (auto const& [key, values] : sampled)
    {
        if (values.size() < min_kind_workers)
            continue;
        auto const middle = quantile(values, 0.5);
        std::vector<double> distances;
        for (auto const v : values)
            distances.push_back(std::abs(v - middle));
        if (quantile(std::move(distances), agreeing_share) <= max_kind_spread)
            factors[key] = middle;
    }
    return factors;
}

/// Makes the factor of the usual worker of each service 1.
void center(std::vector<sampled_worker> const& workers,
            std::vector<worker_effect>& effects)
{
    std::map<std::string, std::vector<double>> factors;
    for (std::size_t i = 0; i < workers.size(); ++i)
        if (effects[i].samples > 0)
            factors[workers[i].service].push_back(effects[i].log_factor);
    std::map<std::string, double> usual;
    for (auto const& [service, values] : factors)
        usual[service] = quantile(values, usual_quantile);
    for (std::size_t i = 0; i < workers.size(); ++i)
    {
        if (effects[i].samples == 0)
            continue;
        effects[i].log_factor -= usual[workers[i].service];
        effects[i].sampled -= usual[workers[i].service];
    }
}

/// \returns the standard deviation of the prior that it sets.
double set_prior(sampled_worker const& w,
                 std::map<kind_key, double> const& kinds, worker_effect& e)
{
    auto const kind = kinds.find({w.service, w.kind});
    e.has_kind_prior = kind != kinds.end();
    e.prior = e.has_kind_prior ? kind->second : 0;
    if (w.assumed)
        e.prior = *w.assumed;
    if (w.assumed)
        return assumed_spread;
    return e.has_kind_prior ? kind_spread : unknown_spread;
}

} // namespace

std::vector<worker_effect>
estimate_effects(std::vector<sampled_worker> const& workers, std::size_t groups)
{
    std::vector<worker_effect> effects(workers.size());
    for (std::size_t i = 0; i < workers.size(); ++i)
        effects[i].log_factor = workers[i].assumed.value_or(0);
    auto const members = durations_by_group(workers, groups);
    double task_variance = assumed_task_spread * assumed_task_spread;
    for (int turn = 0; turn < iterations; ++turn)
    {
        auto const kinds = kind_factors(workers, effects);
        auto const refs = references_of(members, effects, task_variance);
        std::vector<std::vector<comparison>> lists(workers.size());
        for (std::size_t i = 0; i < workers.size(); ++i)
        {
            lists[i] =
                agreeing(comparisons_of(workers[i], refs[i], task_variance));
            auto const spread = set_prior(workers[i], kinds, effects[i]);
            combine(lists[i], spread, effects[i]);
        }
        center(workers, effects);
        task_variance = variance_of_tasks(lists);
    }
    return effects;
}

} // namespace jasminetrack::tasks
