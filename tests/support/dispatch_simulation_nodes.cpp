/// \file
/// The simulated dispatchers: take-overs, pauses and partial cuts.

#include "dispatch_simulation.hpp"

#include <jasminetrack/tasks/fencing.hpp>

namespace support
{
namespace
{

/// A replaced dispatcher has appended a heartbeat by then.
constexpr milliseconds fenced_within_ms = 600;
/// Events that a dispatcher missed reach it within this time after a pause.
constexpr milliseconds catch_up_ms = 50;

} // namespace

void dispatch_simulation::inform(std::size_t node, node_event const& event)
{
    if (!nodes_[node])
        return;
    auto const frozen = frozen_.find(node);
    if (frozen != frozen_.end())
        frozen->second.push_back(event);
    else
        event(*nodes_[node]);
}

void dispatch_simulation::inform_all(node_event const& event)
{
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        inform(i, event);
}

/// The dispatcher ignores a job that it knows.
void dispatch_simulation::send_job(std::size_t node, std::string const& id)
{
    inform(node,
           [this, id](dispatcher& d)
           {
               auto const& j = jobs_.at(id);
               auto const at = log_.find(id);
               auto progress = at == log_.end()
                                   ? initial_progress(j.job.spec)
                                   : *decode_progress(at->second, j.job.spec);
               d.put_job(now_, j.job, std::move(progress));
               if (j.cancelled)
                   d.cancel_job(now_, id);
           });
}

void dispatch_simulation::take_over()
{
    disturb();
    epoch_ = next_epoch(epoch_);
    if (!nodes_.empty())
        replaced_at_[leader_] = now_;
    leader_ = nodes_.size();
    for (auto const& [key, records] : history_)
        claimed_after_[key] = std::ssize(records);
    trace("take-over by " + std::to_string(leader_));
    dispatch_limits limits;
    limits.max_lease_ms = faults_.max_lease_ms;
    limits.wait_beside_running = faults_.wait_beside_running;
    limits.evacuation_bound_ms = faults_.evacuation_bound_ms;
    limits.learn_speeds = faults_.learn_speeds;
    limits.lend_headroom = faults_.lend_headroom;
    limits.shed_load = faults_.shed_load;
    limits.expect_departures = faults_.expect_departures;
    auto const node = std::make_shared<dispatcher>(
        epoch_, limits, now_,
        [this, number = leader_](decision const& d)
        {
            note_hold(number, d);
            if (trace_)
                trace("[" + std::to_string(number) + "] " + d.step + " " +
                      d.job + " " + d.text);
        });
    nodes_.push_back(node);
    tokens_.push_back(epoch_);
    node->set_configuration(config_);
    node->on_log_back(log_up_since_);
    node->role().on_earlier_proof(std::max(proof_at_, log_up_since_));
    if (auto const at = log_.find(speed_record_key); at != log_.end())
        node->set_slower_workers(now_, *decode_slower_workers(at->second));
    send_jobs(*node);
    for (auto const& [id, entry] : list_)
        node->put_worker(now_, entry);
}

/// The new leader reads all jobs, one after the other.
void dispatch_simulation::send_jobs(dispatcher& leader)
{
    auto const max_lag = std::max(faults_.max_job_lag_ms, max_jobs_read_ms_);
    if (max_lag > 0)
        leader.await_jobs();
    milliseconds read_ms = 0;
    for (auto const& [id, j] : jobs_)
    {
        auto const lag = max_lag == 0 ? 0 : between(1, max_lag);
        read_ms = std::max(read_ms, lag);
        if (lag == 0)
            send_job(leader_, id);
        else
            schedule(lag, [this, to = leader_, id] { send_job(to, id); });
    }
    idle_waits_.disturb(now_ + read_ms);
    if (max_lag > 0)
        schedule(
            read_ms + 1, [this, to = leader_]
            { inform(to, [this](dispatcher& d) { d.on_jobs_read(now_); }); });
}

void dispatch_simulation::kill_leader()
{
    trace("kill " + std::to_string(leader_));
    disturb();
    nodes_.at(leader_).reset();
}

void dispatch_simulation::stop_fenced_nodes()
{
    if (!faults_.heartbeats || log_down_)
        return;
    for (auto const& [node, since] : replaced_at_)
        if (nodes_[node] && frozen_.count(node) == 0 &&
            cut_from_log_.count(node) == 0 && now_ - since > fenced_within_ms)
        {
            trace("fenced " + std::to_string(node));
            nodes_[node].reset();
        }
}

void dispatch_simulation::freeze(std::size_t node, bool frozen)
{
    trace((frozen ? "freeze " : "wake ") + std::to_string(node));
    disturb();
    if (frozen)
    {
        frozen_[node];
        return;
    }
    auto const missed = frozen_.extract(node);
    if (missed.empty())
        return;
    if (auto const at = replaced_at_.find(node); at != replaced_at_.end())
        at->second = now_;
    for (auto const& event : missed.mapped())
        schedule(between(1, catch_up_ms),
                 [this, node, event] { inform(node, event); });
}

void dispatch_simulation::cut_link(std::size_t node, std::string const& worker,
                                   bool cut)
{
    trace((cut ? "cut " : "join ") + std::to_string(node) + " " + worker);
    disturb();
    if (cut)
        cut_links_.insert({node, worker});
    else
        cut_links_.erase({node, worker});
}

void dispatch_simulation::cut_from_log(std::size_t node, bool cut)
{
    trace((cut ? "cut " : "join ") + std::to_string(node) + " log");
    disturb();
    if (cut)
        cut_from_log_.insert(node);
    else
        cut_from_log_.erase(node);
}

void dispatch_simulation::restore_nodes()
{
    disturb();
    cut_links_.clear();
    cut_from_log_.clear();
    while (!frozen_.empty())
        freeze(frozen_.begin()->first, false);
}

void dispatch_simulation::refuse_calls(std::string const& id, double share)
{
    trace("refusals of " + id + " " + std::to_string(share));
    disturb();
    workers_.at(id).refuses = share;
}

} // namespace support
