/// \file
/// The simulated network: orders and answers that are lost or delayed.

#include "dispatch_simulation.hpp"

namespace support
{
namespace
{

constexpr milliseconds ticket_valid_ms = 3'000;
constexpr milliseconds call_timeout_ms = 700;

} // namespace

template <typename Reply>
void dispatch_simulation::deliver(std::size_t node, std::string const& worker,
                                  std::function<Reply()> execute,
                                  std::function<void(Reply)> answer,
                                  std::function<void(call_result)> no_answer)
{
    constexpr milliseconds min_late_ms = 2'000;
    constexpr milliseconds max_late_ms = 12'000;
    constexpr milliseconds max_latency_ms = 20;
    auto const latency = [&]
    {
        return std::uniform_int_distribution<milliseconds>(1, max_latency_ms)(
            random_);
    };
    auto const lost = [this, no_answer](call_result result)
    { schedule(call_timeout_ms, [no_answer, result] { no_answer(result); }); };
    auto const reachable = [this, node, worker]
    {
        auto const& w = workers_.at(worker);
        return w.up && !w.disconnected && !is_cut_off(node, worker);
    };
    if (chance(faults_.lost_orders))
    {
        lost(call_result::no_answer);
        return;
    }
    if (chance(faults_.late_orders))
    {
        auto const delay = std::uniform_int_distribution<milliseconds>(
            min_late_ms, max_late_ms)(random_);
        lost(call_result::no_answer);
        schedule(delay,
                 [reachable, execute]
                 {
                     if (reachable())
                         (void)execute();
                 });
        return;
    }
    bool const answer_lost = chance(faults_.lost_answers);
    auto const answer_latency = latency();
    schedule(latency(),
             [this, node, worker, reachable, execute, answer, no_answer, lost,
              answer_lost, answer_latency]
             {
                 if (is_replaced(worker) && !is_cut_off(node, worker))
                 {
                     no_answer(call_result::other_incarnation);
                     return;
                 }
                 if (!reachable())
                 {
                     lost(call_result::no_answer);
                     return;
                 }
                 auto const reply = execute();
                 if (answer_lost)
                     lost(call_result::no_answer);
                 else
                     schedule(answer_latency,
                              [answer, reply] { answer(reply); });
             });
}

void dispatch_simulation::send(std::size_t node, renew_order const& o)
{
    auto const expected_incarnation =
        nodes_[node]->find_worker(o.worker)->info.incarnation;
    deliver<renew_reply>(
        node, o.worker,
        [this, o, expected_incarnation]
        {
            // The dispatcher is not held to ends that an order to an earlier
            // incarnation acknowledges.
            auto& w = workers_.at(o.worker);
            if (w.incarnation != expected_incarnation)
                w.expired_ends = std::max(w.expired_ends, o.last_seen);
            return handle_renew(w, o);
        },
        [this, node](renew_reply r)
        {
            if (nodes_[node])
                nodes_[node]->on_renew(now_, r);
        },
        [this, node, o](call_result result)
        {
            renew_reply r;
            r.worker = o.worker;
            r.result = result;
            if (nodes_[node])
                nodes_[node]->on_renew(now_, r);
        });
}

void dispatch_simulation::send(std::size_t node, start_order const& o)
{
    auto const answer = [this, node, o](call_result result)
    {
        start_reply const r{o.worker, o.run, result,
                            clock_of(workers_.at(o.worker))};
        if (nodes_[node])
            nodes_[node]->on_start(now_, r);
    };
    auto const expected_incarnation =
        nodes_[node]->find_worker(o.worker)->info.incarnation;
    deliver<call_result>(
        node, o.worker,
        [this, o, expected_incarnation]
        {
            // A sender cannot know that its order arrives at a later
            // incarnation, so such a start is not checked.
            auto& w = workers_.at(o.worker);
            return handle_start(w, o, w.incarnation == expected_incarnation);
        },
        answer, answer);
}

void dispatch_simulation::send(std::size_t node, stop_order const& o)
{
    auto const answer = [this, node, o](call_result result)
    {
        if (nodes_[node])
            nodes_[node]->on_stop(now_, {o.worker, o.run, result});
    };
    deliver<call_result>(
        node, o.worker,
        [this, o] { return handle_stop(workers_.at(o.worker), o); }, answer,
        answer);
}

void dispatch_simulation::send(std::size_t node, advice_order const& o)
{
    schedule(std::max<milliseconds>(1, o.service_time_ms),
             [this, node, o]
             {
                 advice_reply r;
                 r.step = o.step;
                 r.result = call_result::done;
                 r.valid_ms = ticket_valid_ms;
                 for (auto const& id : o.workers)
                     if (forbidden_.count(id) == 0)
                         r.good[id] =
                             std::to_string(workers_.at(id).incarnation) + "/" +
                             std::to_string(now_ + ticket_valid_ms);
                 if (chance(faults_.lost_answers))
                     r = {o.step, call_result::no_answer, {}, 0};
                 if (nodes_[node])
                     nodes_[node]->on_advice(now_, r);
             });
}

void dispatch_simulation::send(std::size_t node, store_order const& o)
{
    constexpr milliseconds append_ms = 8;
    if (is_cut_from_log(node))
    {
        schedule(100, [this, node, o] { send(node, o); });
        return;
    }
    schedule(append_ms,
             [this, node, o]
             {
                 if (!nodes_[node])
                     return;
                 if (tokens_[node] < epoch_)
                 {
                     nodes_[node].reset(); // fenced by the log
                     return;
                 }
                 for (auto const& r : o.records)
                 {
                     check_failed_job(r);
                     log_[r.key] = r.value;
                     history_[r.key].push_back(r.value);
                 }
                 nodes_[node]->on_stored(now_, o.batch);
             });
}

} // namespace support
