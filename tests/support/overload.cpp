#include "overload.hpp"

namespace support
{
namespace
{

constexpr milliseconds tick_ms = 100;
/// Of the usual load after the burst.
constexpr milliseconds usual_ms = 16'000;
constexpr milliseconds finish_ms = 30'000;
/// Load as a part of the capacity.
constexpr double usual_load = 0.7;
/// Between readings, and until an entry VM has one.
constexpr milliseconds reading_interval_ms = 500;
/// Largest relative error of estimates, in both directions.
constexpr double max_estimate_error = 0.5;
constexpr int workers = 16;
constexpr std::int64_t accelerators_a_worker = 8;

configuration three_priorities()
{
    configuration c;
    c.version = 1;
    c.queues = {{"urgent", "h", "/u/", "service", 0, 3, 1.5, 400},
                {"middle", "h", "/m/", "service", 1, 3, 2, 1'200},
                {"low", "h", "/l/", "service", 2, 2, 3, 3'000}};
    c.teams = {{"team", {"key"}, workers * accelerators_a_worker / 2}};
    return c;
}

simulation_faults with_setting(bool shed_load)
{
    simulation_faults f;
    f.shed_load = shed_load;
    return f;
}

} // namespace

std::vector<overload_simulation::job_kind> const& overload_simulation::kinds()
{
    static std::vector<job_kind> const all{
        {"urgent", 0.3, 4, 4, 1'000, 3'000, true},
        {"middle", 0.4, 8, 2, 1'000, 6'000, false},
        {"low", 0.3, 16, 1, 1'000, 6'000, false}};
    return all;
}

overload_simulation::overload_simulation(unsigned seed, shedding parts,
                                         load_burst burst)
    : random_(seed), simulation_(seed, with_setting(parts != shedding::off)),
      config_(three_priorities()),
      admits_all_(parts != shedding::order_and_admission), burst_(burst)
{
    simulation_.configure(config_);
    for (int i = 0; i < workers; ++i)
        simulation_.add_worker("w" + std::to_string(i), i % 2 ? "r1" : "r2",
                               {64'000, 131'072, accelerators_a_worker});
    simulation_.run_for(1'000);
}

double overload_simulation::uniform(double min, double max)
{
    return std::uniform_real_distribution<>(min, max)(random_);
}

void overload_simulation::read_load(milliseconds at)
{
    if (at % reading_interval_ms != 0)
        return;
    reading_ = decode_load(encode(simulation_.leader().read_load(at)));
    read_at_ = at;
    accepted_.clear();
}

bool overload_simulation::admit(queue const& q, job_spec const& spec)
{
    auto const need = admission_need_of(q, spec);
    auto const* load = reading_ && reading_->services.count(q.service) != 0
                           ? &reading_->services.at(q.service)
                           : nullptr;
    auto const verdict =
        judge_admission(need, load, simulation_.now() - read_at_, accepted_);
    if (verdict.accepted())
    {
        accepted_[q.priority].core_s += need.core_s;
        accepted_[q.priority].accelerator_s += need.accelerator_s;
    }
    return verdict.accepted();
}

void overload_simulation::submit(job_kind const& k)
{
    auto const work =
        static_cast<milliseconds>(uniform(static_cast<double>(k.min_work_ms),
                                          static_cast<double>(k.max_work_ms)));
    step_spec step;
    step.count = 1 + static_cast<std::int64_t>(
                         uniform(0, static_cast<double>(k.max_tasks)));
    step.need = {4'000, 8'000, k.accelerators};
    step.gang = k.gang;
    step.estimate_ms = static_cast<milliseconds>(
        static_cast<double>(work) *
        uniform(1 - max_estimate_error, 1 + max_estimate_error));
    job_spec spec;
    spec.steps = {step};
    auto const* q = find_queue(config_, k.queue);
    auto& job = jobs_[k.queue + std::to_string(jobs_.size())];
    job.priority = q->priority;
    job.submitted = simulation_.now();
    job.objective_ms =
        q->latency_ms +
        static_cast<milliseconds>(q->stretch * static_cast<double>(work));
    job.rejected = !admits_all_ && !admit(*q, spec);
    if (!job.rejected)
        simulation_.submit(k.queue + std::to_string(jobs_.size() - 1), k.queue,
                           std::move(spec), {work, false});
}

void overload_simulation::submit_due(milliseconds at)
{
    auto const load = at < burst_.length_ms ? burst_.load : usual_load;
    for (auto const& k : kinds())
    {
        auto const mean_tasks = static_cast<double>(k.max_tasks + 1) / 2;
        auto const mean_work =
            mean_tasks * static_cast<double>(k.accelerators) *
            static_cast<double>(k.min_work_ms + k.max_work_ms) / 2;
        std::poisson_distribution<> arrivals(load * k.share * workers *
                                             accelerators_a_worker * tick_ms /
                                             mean_work);
        for (int i = arrivals(random_); i > 0; --i)
            submit(k);
    }
}

void overload_simulation::record_completed()
{
    for (auto& [id, j] : jobs_)
        if (!j.rejected && j.completed < 0 &&
            simulation_.phase(id) == job_phase::completed)
            j.completed = simulation_.now();
}

void overload_simulation::run()
{
    auto const traffic_ms = burst_.length_ms + usual_ms;
    for (milliseconds at = 0; at < traffic_ms + finish_ms; at += tick_ms)
    {
        if (!admits_all_)
            read_load(simulation_.now());
        if (at < traffic_ms)
            submit_due(at);
        simulation_.run_for(tick_ms);
        record_completed();
    }
}

bool overload_simulation::is_expired(submitted_job const& j)
{
    return j.completed < 0 ||
           j.completed - j.submitted > expiry_objectives * j.objective_ms;
}

std::map<std::int64_t, caller_results> overload_simulation::results() const
{
    std::map<std::int64_t, caller_results> results;
    for (auto const& [id, j] : jobs_)
    {
        auto& r = results[j.priority];
        if (j.rejected)
            ++r.rejected;
        else if (is_expired(j))
            ++r.expired;
        else if (j.completed - j.submitted > j.objective_ms)
            ++r.late;
        else
            ++r.in_time;
    }
    return results;
}

std::set<std::string> overload_simulation::rejected() const
{
    std::set<std::string> ids;
    for (auto const& [id, j] : jobs_)
        if (j.rejected)
            ids.insert(id);
    return ids;
}

bool overload_simulation::expired(std::string const& id) const
{
    return is_expired(jobs_.at(id));
}

} // namespace support
