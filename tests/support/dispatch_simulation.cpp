#include "dispatch_simulation.hpp"

#include <algorithm>

namespace support
{
namespace
{

constexpr milliseconds step_ms = 10;

} // namespace

dispatch_simulation::dispatch_simulation(unsigned seed,
                                         simulation_faults faults)
    : random_(seed), faults_(faults)
{
    take_over();
}

bool dispatch_simulation::chance(double share)
{
    return std::uniform_real_distribution<>(0, 1)(random_) < share;
}

void dispatch_simulation::report_violation(std::string what)
{
    violations_.push_back(std::to_string(now_) + " ms: " + std::move(what));
}

void dispatch_simulation::schedule(milliseconds delay,
                                   std::function<void()> work)
{
    queue_.emplace(now_ + delay, std::move(work));
}

job_phase dispatch_simulation::phase(std::string const& job) const
{
    auto const at = log_.find(job);
    if (at == log_.end())
        return job_phase::queued;
    return decode_summary(at->second)->phase;
}

int dispatch_simulation::starts(std::string const& job) const
{
    return jobs_.at(job).starts;
}

int dispatch_simulation::running(std::string const& job) const
{
    int count = 0;
    for (auto const& [id, w] : workers_)
        count += running(job, id);
    return count;
}

int dispatch_simulation::running(std::string const& job,
                                 std::string const& worker) const
{
    auto const& runs = workers_.at(worker).runs;
    return static_cast<int>(std::count_if(
        runs.begin(), runs.end(),
        [&](auto const& entry) { return entry.first.task.job == job; }));
}

int dispatch_simulation::ended(run_end how) const
{
    auto const at = ended_.find(how);
    return at == ended_.end() ? 0 : at->second;
}

milliseconds dispatch_simulation::begun_at(std::string const& job) const
{
    return jobs_.at(job).begun_at;
}

void dispatch_simulation::configure(configuration const& c)
{
    config_ = c;
    for (auto const& n : nodes_)
        if (n)
            n->set_configuration(c);
}

void dispatch_simulation::add_worker(std::string const& id,
                                     std::string const& rack,
                                     resources capacity,
                                     std::string const& address)
{
    sim_worker w;
    w.info.id = id;
    w.info.address = address.empty() ? id : address;
    w.info.service = "service";
    w.info.rack = rack;
    w.info.labels = {"a", rack};
    w.info.capacity = capacity;
    w.info.incarnation = w.incarnation = now_;
    w.epoch = now_;
    w.clock_rate = chance(0.5) ? 1.0 : 0.98;
    workers_[id] = w;
    for (auto const& n : nodes_)
        if (n)
            n->put_worker(now_, w.info);
}

void dispatch_simulation::submit(std::string const& id,
                                 std::string const& queue, job_spec spec,
                                 true_work work)
{
    sim_job j;
    j.job = {id, queue, "team", now_, std::move(spec)};
    j.work = work;
    j.submitted = now_;
    jobs_[id] = j;
    for (auto const& n : nodes_)
        if (n)
            n->put_job(now_, j.job, initial_progress(j.job.spec));
}

void dispatch_simulation::cancel(std::string const& id)
{
    jobs_.at(id).cancelled = true;
    for (auto const& n : nodes_)
        if (n)
            n->cancel_job(now_, id);
}

void dispatch_simulation::repeat(std::string const& id,
                                 std::size_t records_behind)
{
    auto const& job = jobs_.at(id).job;
    auto const& records = history_.at(id);
    auto const at = records.size() - 1 - records_behind;
    leader().put_job(now_, job, *decode_progress(records.at(at), job.spec));
}

void dispatch_simulation::take_over()
{
    ++epoch_;
    leader_ = nodes_.size();
    auto const node = std::make_shared<dispatcher>(
        epoch_, dispatch_limits{}, now_, [](decision const&) {});
    nodes_.push_back(node);
    tokens_.push_back(epoch_);
    node->set_configuration(config_);
    if (max_jobs_read_ms_ > 0)
    {
        node->await_jobs();
        auto const delay = std::uniform_int_distribution<milliseconds>(
            1, max_jobs_read_ms_)(random_);
        schedule(delay,
                 [this, node]
                 {
                     put_jobs(*node);
                     node->on_jobs_read(now_);
                 });
    }
    else
        put_jobs(*node);
    for (auto const& [id, w] : workers_)
        if (w.up)
            node->put_worker(now_, w.info);
}

void dispatch_simulation::put_jobs(dispatcher& node)
{
    for (auto const& [id, j] : jobs_)
    {
        auto const at = log_.find(id);
        auto progress = at == log_.end()
                            ? initial_progress(j.job.spec)
                            : *decode_progress(at->second, j.job.spec);
        node.put_job(now_, j.job, std::move(progress));
        if (j.cancelled)
            node.cancel_job(now_, id);
    }
}

void dispatch_simulation::kill_leader()
{
    nodes_.at(leader_).reset();
}

void dispatch_simulation::crash_worker(std::string const& id)
{
    auto& w = workers_.at(id);
    for (auto const& [run, s] : w.runs)
        ++jobs_.at(run.task.job).crashed_under[run.task];
    w.runs.clear();
    w.ends.clear();
    w.highest.clear();
    w.next_end = 1;
    w.expired_ends = 0;
    w.token = 0;
    w.lease = 0;
    w.incarnation = now_;
    w.epoch = now_;
    w.info.incarnation = w.incarnation;
}

int dispatch_simulation::crashes(std::string const& job) const
{
    return jobs_.at(job).crashes;
}

void dispatch_simulation::disconnect_worker(std::string const& id,
                                            bool disconnected)
{
    workers_.at(id).disconnected = disconnected;
}

void dispatch_simulation::hang_worker(std::string const& id, bool hangs)
{
    workers_.at(id).hangs = hangs;
}

void dispatch_simulation::slow_worker(std::string const& id, double factor)
{
    workers_.at(id).slow = factor;
}

void dispatch_simulation::fail_worker(std::string const& id, bool fails)
{
    workers_.at(id).fails = fails;
}

void dispatch_simulation::drain_worker(std::string const& id)
{
    auto& w = workers_.at(id);
    w.info.draining = true;
    for (auto const& n : nodes_)
        if (n)
            n->put_worker(now_, w.info);
}

void dispatch_simulation::forbid_worker(std::string const& id)
{
    forbidden_.insert(id);
}

void dispatch_simulation::remove_worker(std::string const& id)
{
    auto& w = workers_.at(id);
    w.up = false;
    w.runs.clear();
    for (auto const& n : nodes_)
        if (n)
            n->unlist_worker(now_, id);
}

void dispatch_simulation::log_down(bool down)
{
    log_down_ = down;
}

void dispatch_simulation::run_for(milliseconds ms)
{
    auto const end = now_ + ms;
    while (now_ < end)
        step();
}

void dispatch_simulation::step()
{
    now_ += step_ms;
    while (!queue_.empty() && queue_.begin()->first <= now_)
    {
        auto const work = queue_.begin()->second;
        queue_.erase(queue_.begin());
        work();
    }
    for (auto& [id, w] : workers_)
        if (w.up)
            advance_worker(w);
    advance_gangs();
    crash_workers_of_crashing_tasks();
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        if (!nodes_[i])
            continue;
        nodes_[i]->tick(now_, now_);
        perform(i);
        if (nodes_[i]->deposed())
            nodes_[i].reset();
    }
}

void dispatch_simulation::perform(std::size_t node)
{
    for (auto const& a : nodes_[node]->take_actions())
        std::visit([&](auto const& order) { send(node, order); }, a);
}

milliseconds dispatch_simulation::clock_of(sim_worker const& w) const
{
    return static_cast<milliseconds>(static_cast<double>(now_ - w.epoch) *
                                     w.clock_rate);
}

step_spec const* dispatch_simulation::step_of(task_run const& run) const
{
    auto const at = jobs_.find(run.task.job);
    if (at == jobs_.end())
        return nullptr;
    return &at->second.job.spec.steps.at(
        static_cast<std::size_t>(run.task.step));
}
} // namespace support
