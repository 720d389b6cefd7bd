#pragma once
/// \file
/// A dispatcher with workers whose answers a test controls one by one.

#include "small_jobs.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <utility>

namespace support
{

using namespace jasminetrack::tasks;

/// A dispatcher whose orders are recorded and answered as the test selects. The
/// log stores at once. Workers run what was started and ignore stops.
class manual_dispatcher
{
public:
    static constexpr milliseconds step_ms = 50;

    explicit manual_dispatcher(configuration const& c = two_queues(),
                               dispatch_limits const& limits = {})
        : dispatcher_(7, limits, now,
                      [this](decision const& d) { decisions.push_back(d); })
    {
        dispatcher_.set_configuration(c);
    }

    /// \param address  that of a worker of its own if empty
    void add_worker(std::string const& id, std::int64_t incarnation,
                    std::string const& address = "")
    {
        worker_info w;
        w.id = id;
        w.address = address.empty() ? "10.0.0.1:" + id : address;
        w.service = "service";
        w.rack = "r1";
        w.capacity = {8'000, 8'000, 8};
        w.incarnation = incarnation;
        begin_process(id, incarnation);
        infos_[id] = w;
        dispatcher_.put_worker(now, w);
    }

    /// The worker restarts under its id; the list shows its earlier process.
    void restart_unlisted(std::string const& id, std::int64_t incarnation)
    {
        begin_process(id, incarnation);
        running[id].clear();
    }

    /// The worker reports that it leaves in this time.
    void drain_worker(std::string const& id, milliseconds remaining_ms)
    {
        auto& w = infos_.at(id);
        w.draining = true;
        w.remaining_ms = remaining_ms;
        dispatcher_.put_worker(now, w);
    }

    void set_capacity(std::string const& id, resources capacity)
    {
        auto& w = infos_.at(id);
        w.capacity = capacity;
        dispatcher_.put_worker(now, w);
    }

    /// Puts the worker into a data center.
    void place_in(std::string const& id, std::string const& data_center)
    {
        auto& w = infos_.at(id);
        w.zone = data_center;
        dispatcher_.put_worker(now, w);
    }

    /// The operators' records are read: these data centers are evacuated.
    void evacuate(std::set<std::string> const& data_centers)
    {
        dispatcher_.set_evacuations(now, data_centers, now);
    }

    void unlist_worker(std::string const& id)
    {
        dispatcher_.unlist_worker(now, id);
    }

    /// Replaces the worker's entry in the platform's list.
    void put_entry(worker_info const& w)
    {
        dispatcher_.put_worker(now, w);
    }

    [[nodiscard]] worker_info const& entry_of(std::string const& id) const
    {
        return infos_.at(id);
    }

    [[nodiscard]] bool deposed() const noexcept
    {
        return dispatcher_.deposed();
    }

    [[nodiscard]] worker_view const& view_of(std::string const& id) const
    {
        return *dispatcher_.find_worker(id);
    }

    /// Answers the newest renewal in the place of the worker.
    void reply(renew_reply r)
    {
        r.token = renewals.at(r.worker).back().token;
        dispatcher_.on_renew(now, r);
    }
    /// Answers an order in the place of the worker.
    void reply(stop_reply const& r)
    {
        dispatcher_.on_stop(now, r);
    }
    void reply(start_reply const& r)
    {
        dispatcher_.on_start(now, r);
    }

    /// The newest record of earlier dispatchers was read at this time.
    void set_earlier_proof(milliseconds read_at)
    {
        dispatcher_.role().on_earlier_proof(read_at);
    }

    void cancel(std::string const& job)
    {
        dispatcher_.cancel_job(now, job);
    }

    void configure(configuration const& c)
    {
        dispatcher_.set_configuration(c);
    }

    /// The worker lists the end of the job's runs there as done.
    void complete(std::string const& worker, std::string const& job)
    {
        for (auto const& run : running[worker])
            if (run.task.job == job)
                ended_[worker].push_back(
                    {std::ssize(ended_[worker]) + 1, run, run_end::done, ""});
        end(worker, job);
    }

    /// The worker no longer runs the job's tasks.
    void end(std::string const& worker, std::string const& job)
    {
        std::erase_if(running[worker],
                      [&](task_run const& run) { return run.task.job == job; });
    }

    /// Submits a job of one task.
    void submit(std::string const& id, std::string const& queue,
                resources const& need)
    {
        accepted_job job;
        job.id = id;
        job.queue = queue;
        job.team = "team";
        job.spec.steps.resize(1);
        job.spec.steps[0].need = need;
        job.spec.steps[0].estimate_ms = 20'000;
        dispatcher_.put_job(now, job, initial_progress(job.spec));
    }

    void submit(accepted_job const& job)
    {
        submit(job, initial_progress(job.spec));
    }

    /// The dispatcher reads a job that has made this progress.
    void submit(accepted_job const& job, job_progress progress)
    {
        dispatcher_.put_job(now, job, std::move(progress));
    }

    /// The dispatcher reads a job whose only task an earlier dispatcher has
    /// placed there.
    /// \param answered  whether it recorded that the start was answered
    void adopt(std::string const& id, std::string const& worker,
               std::int64_t incarnation, bool answered = false)
    {
        accepted_job job;
        job.id = id;
        job.queue = "batch";
        job.team = "team";
        job.spec = simple_job(1, 1);
        auto progress = initial_progress(job.spec);
        auto& u = progress.units.begin()->second;
        u.phase = unit_phase::active;
        u.run = 1;
        u.places = {worker};
        u.incarnations = {incarnation};
        u.answered_run = answered ? 1 : 0;
        u.late_lease_ms = 0;
        submit(job, progress);
    }

    /// Submits a job of which each task needs a whole worker.
    void submit(std::string const& id, std::string const& queue,
                std::int64_t members = 1, bool checkpoints = false)
    {
        accepted_job job;
        job.id = id;
        job.queue = queue;
        job.team = "team";
        job.spec.steps.resize(1);
        job.spec.steps[0].need = {8'000, 8'000, 8};
        job.spec.steps[0].estimate_ms = 20'000;
        job.spec.steps[0].count = members;
        job.spec.steps[0].gang = members > 1;
        job.spec.steps[0].checkpoints = checkpoints;
        dispatcher_.put_job(now, job, initial_progress(job.spec));
    }

    /// Runs the dispatcher. Renewals are answered except by workers in
    /// `unresponsive`, and starts unless `answers_starts` is false.
    void run_for(milliseconds ms)
    {
        for (auto const until = now + ms; now < until; now += step_ms)
        {
            if (list_readable)
                dispatcher_.on_list_read(now, now);
            if (stores)
                dispatcher_.role().on_confirmed(now);
            if (outage_confirmed)
                dispatcher_.role().on_outage_confirmed(now);
            dispatcher_.tick(now, now);
            for (auto const& a : dispatcher_.take_actions())
                handle(a);
        }
    }

    /// Runs the dispatcher without time passing, until it has no actions left.
    void run_now()
    {
        dispatcher_.tick(now, now);
        for (auto list = dispatcher_.take_actions(); !list.empty();
             list = dispatcher_.take_actions())
            for (auto const& a : list)
                handle(a);
    }

    /// The log stores what waited for it, and from now on at once.
    void store_again()
    {
        stores = true;
        dispatcher_.on_stored(now, unstored_);
    }

    /// The log has stored what waited for it, which does not show that the
    /// dispatcher holds the role.
    void confirm_batch()
    {
        dispatcher_.on_stored(now, unstored_);
    }

    void accept_start(start_order const& o)
    {
        starts.push_back(o);
        if (!start_results.empty())
        {
            auto const result = start_results.front();
            start_results.pop_front();
            dispatcher_.on_start(now,
                                 {o.worker, o.run, result, clock_of(o.worker)});
            return;
        }
        if (!answers_starts)
            return;
        running[o.worker].insert(o.run);
        dispatcher_.on_start(
            now, {o.worker, o.run, call_result::done, clock_of(o.worker)});
    }

    /// A start that got no answer reaches its worker late.
    /// \returns what the worker's newest process answers, which runs the task
    /// unless it has seen a higher token.
    call_result deliver_late(start_order const& o)
    {
        auto& seen = seen_tokens_[o.worker];
        if (o.token < seen)
            return call_result::fenced;
        seen = o.token;
        running[o.worker].insert(o.run);
        return call_result::done;
    }

    /// Answers a start that was sent while `answers_starts` was false.
    void answer_start(start_order const& o, call_result result)
    {
        dispatcher_.on_start(now, {o.worker, o.run, result, 0});
    }

    milliseconds now = 100'000;
    /// What the clock of the next process shows when it starts.
    milliseconds first_clock = 1;
    bool answers_starts = true;
    /// Results of the next starts; the worker runs none of them.
    std::deque<call_result> start_results;
    bool stores = true; ///< false: the log is away
    /// The other VMs tell that the log is away for them as well.
    bool outage_confirmed = false;
    bool list_readable = true;
    std::set<std::string> unresponsive;
    std::set<std::string> held; ///< renewals of these stay without an answer
    /// Result of renewals of these workers.
    call_result unanswered_result = call_result::no_answer;
    /// Reported progress by worker; 1 for the others.
    std::map<std::string, std::int64_t> percents;
    std::map<std::string, std::vector<renew_order>> renewals; ///< by worker
    std::vector<start_order> starts;
    std::vector<stop_order> stops;
    std::vector<advice_order> advice_requests;
    std::map<std::string, std::set<task_run>> running;
    std::vector<decision> decisions;

    /// \returns the fields of the newest decision with this step; empty if
    /// there is none.
    [[nodiscard]] std::string newest(std::string const& step) const
    {
        std::string text;
        for (auto const& d : decisions)
            if (d.step == step)
                text = d.text;
        return text;
    }

    /// \returns what the log has of the only unit of a job.
    [[nodiscard]] unit newest_progress(std::string const& job,
                                       job_spec const& spec) const
    {
        auto const progress = decode_progress(records_.at(job), spec);
        return progress.value().units.begin()->second;
    }

    /// \returns the worker's own clock.
    [[nodiscard]] milliseconds clock_of(std::string const& id) const
    {
        return first_clocks_.at(id) + now - started_at_.at(id);
    }

    void answer_advice(advice_reply const& r)
    {
        dispatcher_.on_advice(now, r);
    }

private:
    void handle(action const& a)
    {
        if (auto const* renewal = std::get_if<renew_order>(&a))
            answer(*renewal);
        if (auto const* start = std::get_if<start_order>(&a))
            accept_start(*start);
        if (auto const* stop = std::get_if<stop_order>(&a))
            stops.push_back(*stop);
        if (auto const* ask = std::get_if<advice_order>(&a))
            advice_requests.push_back(*ask);
        if (auto const* store = std::get_if<store_order>(&a))
            on_store(*store);
    }

    void answer(renew_order const& o)
    {
        renewals[o.worker].push_back(o);
        if (held.count(o.worker) != 0)
            return;
        renew_reply r;
        r.worker = o.worker;
        r.token = o.token;
        r.result = unanswered_result;
        if (unresponsive.count(o.worker) == 0)
        {
            r.result = call_result::done;
            auto& seen = seen_tokens_[o.worker];
            seen = std::max(seen, o.token);
            r.incarnation = incarnations_[o.worker];
            r.clock_ms = clock_of(o.worker);
            r.ended = ended_[o.worker];
            for (auto const& run : running[o.worker])
                r.running.push_back(
                    {run, "", std::max<std::int64_t>(1, percents[o.worker])});
        }
        dispatcher_.on_renew(now, r);
    }

    void begin_process(std::string const& id, std::int64_t incarnation)
    {
        if (std::exchange(incarnations_[id], incarnation) != incarnation)
            seen_tokens_[id] = 0;
        started_at_[id] = now;
        first_clocks_[id] = first_clock;
        ended_[id].clear();
    }

    void on_store(store_order const& o)
    {
        for (auto const& r : o.records)
            records_[r.key] = r.value;
        if (stores)
            dispatcher_.on_stored(now, o.batch);
        else
            unstored_ = o.batch;
    }

    std::map<std::string, std::int64_t> incarnations_;
    std::map<std::string, std::int64_t> seen_tokens_; ///< by newest process
    std::map<std::string, milliseconds> started_at_;
    std::map<std::string, milliseconds> first_clocks_;
    std::map<std::string, worker_info> infos_;
    std::map<std::string, std::vector<ended_task>> ended_; ///< by worker
    std::int64_t unstored_ = 0;
    std::map<std::string, std::string> records_; ///< newest, by job
    dispatcher dispatcher_;
};

} // namespace support
