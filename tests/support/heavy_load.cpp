#include "heavy_load.hpp"

#include <algorithm>
#include <array>

namespace support
{
namespace
{

constexpr milliseconds traffic_ms = 50'000;
constexpr milliseconds finish_ms = 14'000;
constexpr milliseconds tick_ms = 100;
constexpr milliseconds burst_from_ms = 500;
constexpr milliseconds burst_until_ms = 6'500;
constexpr double burst_factor = 2.3;
constexpr double late_objectives = 3;
constexpr double late_credit = 0.3;
/// Part of a job's credit that does not depend on its work.
constexpr double flat_credit = 0.3;
/// Estimates are wrong by up to this share, either way.
constexpr double estimate_error = 0.7;

configuration three_queues()
{
    configuration c;
    c.version = 1;
    c.queues = {{"urgent", "h", "/u/", "service", 0, 3, 1.5, 400},
                {"middle", "h", "/m/", "service", 1, 3, 3, 1'200},
                {"low", "h", "/l/", "service", 2, 2, 3, 3'000}};
    c.teams = {{"team", {"key"}, 240}};
    return c;
}

} // namespace

std::vector<heavy_load_simulation::job_kind> const&
heavy_load_simulation::kinds()
{
    static std::vector<job_kind> const all{
        {"urgent", 3.6, 6, {7'500, 15'000, 0}, 1'200, 3'800, true, 0.8, true},
        {"middle",
         0.85,
         8,
         {26'000, 38'000, 0},
         7'000,
         11'000,
         true,
         0.6,
         false},
        {"low", 1.3, 24, {5'600, 8'200, 1}, 4'000, 9'000, false, 0, false}};
    return all;
}

heavy_load_simulation::heavy_load_simulation(unsigned seed)
    : random_(seed), simulation_(seed), config_(three_queues())
{
    constexpr int workers = 48;
    constexpr int workers_a_rack = 8;
    simulation_.configure(config_);
    for (int i = 0; i < workers; ++i)
        simulation_.add_worker("w" + std::to_string(i),
                               "r" + std::to_string(i / workers_a_rack),
                               {64'000, 131'072, 8});
    simulation_.run_for(1'000);
}

double heavy_load_simulation::uniform(double least, double most)
{
    return std::uniform_real_distribution<>(least, most)(random_);
}

void heavy_load_simulation::submit(job_kind const& k)
{
    constexpr std::array sizes{1, 2, 4, 8, 8};
    auto const work =
        static_cast<milliseconds>(uniform(static_cast<double>(k.work_least_ms),
                                          static_cast<double>(k.work_most_ms)));
    step_spec step;
    step.count = 1 + static_cast<std::int64_t>(
                         uniform(0, static_cast<double>(k.count_most)));
    step.need = k.each;
    if (step.need.accelerators == 0)
        step.need.accelerators = sizes.at(random_() % sizes.size());
    step.estimate_ms = static_cast<milliseconds>(
        static_cast<double>(work) *
        uniform(1 - estimate_error, 1 + estimate_error));
    step.gang = k.gang;
    step.same_rack = uniform(0, 1) < k.same_rack;
    job_spec spec;
    spec.steps = {step};
    auto const id = std::string(k.queue) + std::to_string(jobs_.size());
    auto const* q = find_queue(config_, k.queue);
    submitted_job job;
    job.queue = k.queue;
    job.submitted = simulation_.now();
    job.objective_ms =
        q->latency_ms +
        static_cast<milliseconds>(q->stretch * static_cast<double>(work));
    job.work = static_cast<double>(step.count * step.need.accelerators * work);
    jobs_[id] = job;
    simulation_.submit(id, k.queue, std::move(spec), {work, false});
}

void heavy_load_simulation::record_completed()
{
    for (auto& [id, j] : jobs_)
        if (j.completed < 0 && simulation_.phase(id) == job_phase::completed)
            j.completed = simulation_.now();
}

void heavy_load_simulation::submit_due(milliseconds at)
{
    constexpr double second_ms = 1'000;
    bool const burst = at >= burst_from_ms && at < burst_until_ms;
    for (auto const& k : kinds())
    {
        auto const factor = burst && k.bursts ? burst_factor : 1;
        std::poisson_distribution<> arrivals(k.per_second * factor * tick_ms /
                                             second_ms);
        for (int i = arrivals(random_); i > 0; --i)
            submit(k);
    }
}

void heavy_load_simulation::run()
{
    for (milliseconds at = 0; at < traffic_ms + finish_ms; at += tick_ms)
    {
        if (at < traffic_ms)
            submit_due(at);
        simulation_.run_for(tick_ms);
        record_completed();
    }
}

std::map<std::string, queue_credit> heavy_load_simulation::credits() const
{
    std::map<std::string, std::pair<double, int>> work;
    for (auto const& [id, j] : jobs_)
    {
        work[j.queue].first += j.work;
        ++work[j.queue].second;
    }
    std::map<std::string, queue_credit> credits;
    for (auto const& [id, j] : jobs_)
    {
        auto const& [sum, count] = work.at(j.queue);
        auto const worth =
            flat_credit + (1 - flat_credit) * j.work * count / sum;
        auto& c = credits[j.queue];
        c.owed += worth;
        auto const took = static_cast<double>(j.completed - j.submitted);
        auto const objective = static_cast<double>(j.objective_ms);
        if (j.completed < 0 || took > late_objectives * objective)
            continue;
        c.earned += took <= objective ? worth : late_credit * worth;
    }
    return credits;
}

} // namespace support
