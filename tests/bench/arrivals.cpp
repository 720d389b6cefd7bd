#include "arrivals.hpp"

#include <algorithm>
#include <random>

namespace bench
{
namespace
{

constexpr double ms_per_min = 60'000;
constexpr double ms_per_hour = 3'600'000;

core::team make_team(std::string name, int weight,
                     std::vector<core::guarantee> guarantees)
{
    core::team t;
    t.name = std::move(name);
    t.weight = weight;
    t.guarantees = std::move(guarantees);
    return t;
}

} // namespace

deployment verband()
{
    using core::adjacency;
    core::shape const one{1, 1, 0, 0, adjacency::none};
    core::shape const pair{2, 1, 0, 0, adjacency::worker};
    core::shape const whole{8, 1, 0, 0, adjacency::worker};
    core::shape const rack{4, 8, 0, 0, adjacency::rack};
    deployment d;
    d.name = "verband";
    d.completion_weight = 1;
    d.fragmentation_weight = 0.3;
    d.teams = {make_team("ledger", 3, {{"bern", whole, 6}}),
               make_team("sorting", 3, {{"bern", rack, 2}}),
               make_team("credits", 1, {{"bern", pair, 4}}),
               make_team("shops", 1, {})};
    d.mix = {
        {"urgent", "ledger", whole, core::capacity_source::guarantee, 12, 6, 1},
        {"sort", "sorting", rack, core::capacity_source::guarantee, 1.6, 55, 2},
        {"batch", "sorting", whole, core::capacity_source::spare, 20, 40, 2},
        {"credit", "credits", pair, core::capacity_source::guarantee, 20, 5, 1},
        {"small", "shops", one, core::capacity_source::spare, 250, 25, 1},
        {"wide", "ledger", rack, core::capacity_source::spare, 2.2, 60, 5}};
    return d;
}

deployment zeildoek()
{
    using core::adjacency;
    core::shape const one{1, 1, 0, 0, adjacency::none};
    core::shape const quad{4, 1, 0, 0, adjacency::worker};
    core::shape const whole{8, 1, 0, 0, adjacency::worker};
    core::shape const full_rack{8, 8, 0, 0, adjacency::rack};
    deployment d;
    d.name = "zeildoek";
    d.completion_weight = 0.3;
    d.fragmentation_weight = 1;
    d.teams = {make_team("field", 2, {{"bern", quad, 6}}),
               make_team("assess", 3, {{"bern", full_rack, 1}}),
               make_team("plan", 3, {{"bern", whole, 4}}),
               make_team("stock", 1, {})};
    d.mix = {
        {"photo", "field", quad, core::capacity_source::guarantee, 40, 3, 1},
        {"assess", "assess", full_rack, core::capacity_source::guarantee, 0.8,
         50, 3},
        {"survey", "assess", full_rack, core::capacity_source::spare, 0.7, 70,
         5},
        {"plan", "plan", whole, core::capacity_source::spare, 16, 45, 2},
        {"small", "stock", one, core::capacity_source::spare, 300, 25, 1}};
    return d;
}

std::vector<arrival> draw_arrivals(deployment const& d, std::uint32_t seed,
                                   double hours)
{
    std::mt19937 random(seed);
    std::vector<arrival> all;
    for (std::size_t m = 0; m < d.mix.size(); ++m)
    {
        std::exponential_distribution<double> gap(d.mix[m].per_hour);
        std::lognormal_distribution<double> spread(0, 0.8);
        constexpr double mean_of_spread = 1.377; // exp(0.8^2 / 2)
        for (double at = gap(random); at < hours; at += gap(random))
        {
            double const run = d.mix[m].mean_run_min * ms_per_min *
                               spread(random) / mean_of_spread;
            all.push_back(
                {static_cast<milliseconds>(at * ms_per_hour), m,
                 std::max<milliseconds>(1000, static_cast<milliseconds>(run))});
        }
    }
    std::stable_sort(all.begin(), all.end(),
                     [](arrival const& a, arrival const& b)
                     { return a.at_ms < b.at_ms; });
    return all;
}

} // namespace bench
