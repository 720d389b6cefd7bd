/// \file
/// The simulated network: orders and answers that are lost or delayed.

#include "dispatch_simulation.hpp"

#include <algorithm>

namespace support
{
namespace
{

constexpr milliseconds ticket_valid_ms = 3'000;
constexpr milliseconds call_timeout_ms = 700;
constexpr milliseconds min_late_ms = 2'000;
constexpr milliseconds max_late_ms = 12'000;
constexpr milliseconds poll_interval_ms = 20;
/// Pause before an append is repeated.
constexpr milliseconds retry_ms = 100;
/// Time in which a successor cannot have claimed the role.
constexpr milliseconds max_append_age_ms = 1'600;
/// Share of the starts with a reset connection whose repeat is refused.
constexpr double refused_repeats = 0.5;

} // namespace

milliseconds dispatch_simulation::latency()
{
    return between(1, faults_.max_latency_ms);
}

bool dispatch_simulation::is_reachable(std::size_t node,
                                       std::string const& worker,
                                       std::string const& address) const
{
    auto const at = workers_.find(worker);
    return at != workers_.end() && at->second.up && !at->second.disconnected &&
           at->second.info.address == address &&
           cut_links_.count({node, worker}) == 0 && !is_cut_off(node, worker);
}

template <typename Reply>
void dispatch_simulation::deliver(std::size_t node, std::string const& worker,
                                  std::string const& address,
                                  std::function<Reply()> execute,
                                  std::function<void(Reply)> answer,
                                  std::function<void(call_result)> no_answer)
{
    auto const lost = [this, no_answer](call_result result)
    {
        disturb();
        schedule(call_timeout_ms, [no_answer, result] { no_answer(result); });
    };
    auto const refuses = [this, worker]
    {
        auto const share = workers_.at(worker).refuses;
        return share > 0 && chance(share);
    };
    if (chance(faults_.lost_orders))
    {
        lost(call_result::no_answer);
        return;
    }
    if (chance(faults_.late_orders))
    {
        auto const delay = between(min_late_ms, max_late_ms);
        lost(call_result::no_answer);
        schedule(delay,
                 [this, node, worker, address, refuses, execute]
                 {
                     disturb();
                     if (is_reachable(node, worker, address) && !refuses())
                         (void)execute();
                 });
        return;
    }
    bool const answer_lost = chance(faults_.lost_answers);
    auto const answer_latency = latency();
    schedule(
        latency(),
        [this, node, worker, address, refuses, execute, answer, no_answer, lost,
         answer_lost, answer_latency]
        {
            if (is_replaced(worker, address) && !is_cut_off(node, worker))
            {
                no_answer(call_result::other_incarnation);
                return;
            }
            if (!is_reachable(node, worker, address))
            {
                auto const at = workers_.find(worker);
                bool const is_down = at != workers_.end() && !at->second.up;
                if (faults_.fast_resets && is_down)
                    no_answer(call_result::no_answer);
                else
                    lost(call_result::no_answer);
                return;
            }
            if (refuses())
            {
                schedule(answer_latency,
                         [no_answer] { no_answer(call_result::unhealthy); });
                return;
            }
            auto const reply = execute();
            if (answer_lost)
                lost(call_result::no_answer);
            else
                schedule(answer_latency, [answer, reply] { answer(reply); });
        });
}

void dispatch_simulation::send(std::size_t node, renew_order const& o)
{
    auto const expected_incarnation =
        nodes_[node]->find_worker(o.worker)->info.incarnation;
    auto const answer = [this, node, token = o.token](renew_reply r)
    {
        r.token = token;
        inform(node, [this, r](dispatcher& d) { d.on_renew(now_, r); });
    };
    auto const no_answer = [answer, o](call_result result)
    {
        renew_reply r;
        r.worker = o.worker;
        r.result = result;
        answer(r);
    };
    deliver<renew_reply>(
        node, o.worker, o.address,
        [this, o, expected_incarnation]
        {
            // The dispatcher is not held to ends that an order to an earlier
            // incarnation acknowledges.
            auto& w = workers_.at(o.worker);
            if (w.incarnation != expected_incarnation &&
                !faults_.checks_stray_orders)
                w.expired_ends = std::max(w.expired_ends, o.last_seen);
            return handle_renew(w, o);
        },
        [this, o, answer, no_answer](renew_reply const& r)
        {
            bool const waits =
                faults_.long_polls && o.wait_ms > 0 && r.ended.empty();
            if (waits && r.result == call_result::done)
                finish_long_poll(o.worker, r.incarnation, now_ + o.wait_ms,
                                 answer, no_answer);
            else
                answer(r);
        },
        no_answer);
}

void dispatch_simulation::finish_long_poll(
    std::string const& worker, std::int64_t incarnation, milliseconds until,
    std::function<void(renew_reply)> const& answer,
    std::function<void(call_result)> const& no_answer)
{
    auto const& w = workers_.at(worker);
    if (!w.up || w.incarnation != incarnation)
    {
        no_answer(call_result::no_answer); // its connections are closed
        return;
    }
    if (w.ends.empty() && now_ < until)
    {
        schedule(poll_interval_ms,
                 [this, worker, incarnation, until, answer, no_answer] {
                     finish_long_poll(worker, incarnation, until, answer,
                                      no_answer);
                 });
        return;
    }
    if (w.disconnected)
        schedule(call_timeout_ms,
                 [no_answer] { no_answer(call_result::no_answer); });
    else
        schedule(latency(), [answer, r = report(w)] { answer(r); });
}

void dispatch_simulation::send(std::size_t node, start_order const& o)
{
    auto const answer = [this, node, token = o.token](start_reply r)
    {
        r.token = token;
        inform(node, [this, r](dispatcher& d) { d.on_start(now_, r); });
    };
    auto const expected_incarnation =
        nodes_[node]->find_worker(o.worker)->info.incarnation;
    auto const execute = [this, o, expected_incarnation]
    {
        // A sender cannot know that its order arrives at a later
        // incarnation, so such a start is not checked by default.
        auto& w = workers_.at(o.worker);
        auto const result =
            handle_start(w, o, w.incarnation == expected_incarnation);
        return start_reply{o.worker, o.run, result, clock_of(w)};
    };
    if (refused_starts_.erase(o.run) != 0)
    {
        disturb();
        schedule(latency(),
                 [o, answer] {
                     answer({o.worker, o.run, call_result::unhealthy, 0});
                 });
        return;
    }
    if (faults_.reset_starts > 0 && chance(faults_.reset_starts))
    {
        reset_after_start(node, o, execute, answer);
        return;
    }
    deliver<start_reply>(node, o.worker, o.address, execute, answer,
                         [answer, o](call_result result) {
                             answer({o.worker, o.run, result, 0});
                         });
}

/// The worker carries out the order and its connection is reset. The next send
/// of the same start may be refused, which shows nothing about this one.
void dispatch_simulation::reset_after_start(
    std::size_t node, start_order const& o,
    std::function<start_reply()> const& execute,
    std::function<void(start_reply)> const& answer)
{
    disturb();
    if (chance(refused_repeats))
        refused_starts_.insert(o.run);
    schedule(latency(),
             [this, node, o, execute, answer]
             {
                 if (is_reachable(node, o.worker, o.address))
                     (void)execute();
                 answer({o.worker, o.run, call_result::no_answer, 0});
             });
}

void dispatch_simulation::send(std::size_t node, stop_order const& o)
{
    auto const answer = [this, node, o](call_result result)
    {
        inform(node,
               [this, o, result](dispatcher& d) {
                   d.on_stop(now_, {o.worker, o.run, result, o.token});
               });
    };
    deliver<call_result>(
        node, o.worker, o.address,
        [this, o] { return handle_stop(workers_.at(o.worker), o); }, answer,
        answer);
}

void dispatch_simulation::send(std::size_t node, advice_order const& o)
{
    schedule(
        std::max<milliseconds>(1, o.service_time_ms),
        [this, node, o]
        {
            advice_reply r;
            r.step = o.step;
            r.result = call_result::done;
            r.valid_ms = ticket_valid_ms;
            for (auto const& id : o.workers)
                if (forbidden_.count(id) == 0)
                    r.good[id] = std::to_string(workers_.at(id).incarnation) +
                                 "/" + std::to_string(now_ + ticket_valid_ms);
            if (chance(faults_.lost_answers))
            {
                disturb();
                r = {o.step, call_result::no_answer, {}, 0};
            }
            inform(node, [this, r](dispatcher& d) { d.on_advice(now_, r); });
        });
}

void dispatch_simulation::send(std::size_t node, store_order const& o)
{
    constexpr milliseconds append_ms = 8;
    if (is_cut_from_log(node))
    {
        schedule(retry_ms,
                 [this, node, o]
                 {
                     if (nodes_[node])
                         send(node, o);
                 });
        return;
    }
    schedule(append_ms, [this, node, o, sent = now_] { store(node, o, sent); });
}

void dispatch_simulation::store(std::size_t node, store_order const& o,
                                milliseconds sent)
{
    if (!nodes_[node])
        return;
    if (tokens_[node] < epoch_)
    {
        if (frozen_.count(node) == 0)
            nodes_[node].reset(); // fenced by the log
        return;
    }
    auto const is_too_large = [](log_record const& r)
    { return std::ssize(r.value) > max_record_bytes; };
    if (std::any_of(o.records.begin(), o.records.end(), is_too_large))
    {
        schedule(retry_ms,
                 [this, node, o]
                 {
                     if (nodes_[node])
                         send(node, o);
                 });
        return;
    }
    for (auto const& r : o.records)
    {
        check_failed_job(r);
        log_[r.key] = r.value;
        history_[r.key].push_back(r.value);
    }
    // A late confirmation shows nothing; the append is repeated.
    inform(node,
           [this, node, o, sent](dispatcher& d)
           {
               if (now_ - sent > max_append_age_ms)
                   send(node, o);
               else
                   d.on_stored(now_, o.batch);
           });
}

} // namespace support
