#include "memory_platform.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <stdexcept>
#include <utility>

namespace support
{

using entry::append_result;
using entry::read_result;
using tasks::call_result;

namespace
{

/// Interval at which due answers are sent.
constexpr tasks::milliseconds answer_interval_ms = 10;

} // namespace

memory_log::memory_log()
{
    timers_.subscribe(answer_interval_ms, [this] { send_delayed_answers(); });
}

memory_log::~memory_log()
{
    timers_.stop();
}

entry::append_answer memory_log::apply_append(entry::append_call const& call)
{
    entry::append_answer answer;
    auto& p = topics_[call.topic];
    auto& w = p.writers[call.writer.name];
    answer.end = static_cast<std::int64_t>(p.entries.size());
    if (call.writer.epoch < w.epoch)
    {
        answer.result = append_result::fenced;
        return answer;
    }
    if (call.writer.epoch == w.epoch)
    {
        if (auto const repeat = w.ends.find(call.writer.sequence);
            repeat != w.ends.end())
        {
            ++repeated_appends_;
            answer.result = append_result::stored;
            answer.end = repeat->second;
            return answer;
        }
        if (w.sequence != 0 && call.writer.sequence != w.sequence + 1)
        {
            ++sequence_conflicts_;
            answer.result = append_result::conflict;
            answer.reason =
                "expected sequence " + std::to_string(w.sequence + 1);
            return answer;
        }
    }
    if (call.expected_end && *call.expected_end != answer.end)
    {
        answer.result = append_result::conflict;
        return answer;
    }
    answer.result = append_result::stored;
    if (call.writer.epoch > w.epoch)
        w = {call.writer.epoch, 0, {}};
    if (call.records.empty())
        return answer; // an append without records uses no sequence
    for (auto const& r : call.records)
        p.entries.push_back(
            {static_cast<std::int64_t>(p.entries.size()), r.key, r.value});
    w.sequence = call.writer.sequence;
    answer.end = static_cast<std::int64_t>(p.entries.size());
    w.ends[w.sequence] = answer.end;
    changed_.notify_all();
    return answer;
}

void memory_log::append(entry::append_call call,
                        std::function<void(entry::append_answer)> done)
{
    entry::append_answer answer;
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        answer.result = append_result::refused;
        if (!down_ && !refuses_appends_)
            answer = apply_append(call);
        if (auto const delay_ms = answer_delays_ms_[call.topic]; delay_ms > 0)
        {
            delayed_.push_back(
                {runtime::monotonic_ms() + delay_ms, answer, std::move(done)});
            return;
        }
    }
    done(answer);
}

void memory_log::send_delayed_answers()
{
    std::vector<delayed_answer> due;
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        auto const now = runtime::monotonic_ms();
        auto const late = std::partition(delayed_.begin(), delayed_.end(),
                                         [&](delayed_answer const& a)
                                         { return a.due > now; });
        std::move(late, delayed_.end(), std::back_inserter(due));
        delayed_.erase(late, delayed_.end());
    }
    for (auto const& a : due)
        a.done(a.answer);
}

void memory_log::delay_append_answers(entry::topic t, tasks::milliseconds ms)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    answer_delays_ms_[t] = ms;
}

int memory_log::repeated_appends() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return repeated_appends_;
}

entry::read_answer memory_log::read(entry::read_call const& call)
{
    std::unique_lock<std::mutex> lock(mutex_);
    auto const from = static_cast<std::size_t>(call.from);
    changed_.wait_for(lock, std::chrono::milliseconds(call.wait_ms),
                      [&]
                      { return topics_[call.topic].entries.size() > from; });
    entry::read_answer answer;
    if (down_ || unreadable_.count(call.topic) != 0)
        return answer;
    auto const& entries = topics_[call.topic].entries;
    answer.result = read_result::page;
    for (auto i = from; i < entries.size(); ++i)
        answer.entries.push_back(entries[i]);
    answer.next = static_cast<std::int64_t>(std::max(from, entries.size()));
    answer.at_end = true;
    return answer;
}

entry::newest_answer memory_log::read_newest(entry::topic t, std::string const&)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    entry::newest_answer answer;
    if (down_ || unreadable_.count(t) != 0)
        return answer;
    std::map<std::string, entry::log_entry> newest;
    for (auto const& e : topics_[t].entries)
        newest[e.key] = e;
    answer.answered = true;
    answer.end = static_cast<std::int64_t>(topics_[t].entries.size());
    for (auto const& [key, e] : newest)
        answer.entries.push_back(e);
    return answer;
}

void memory_log::put(entry::topic t, std::string const& key,
                     std::string const& value)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto& entries = topics_[t].entries;
    entries.push_back({static_cast<std::int64_t>(entries.size()), key, value});
    changed_.notify_all();
}

void memory_log::fail_reads(entry::topic t, bool fail)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    if (fail)
        unreadable_.insert(t);
    else
        unreadable_.erase(t);
}

void memory_log::refuse_appends(bool refuse)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    refuses_appends_ = refuse;
}

void memory_log::set_down(bool down)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    down_ = down;
}

int memory_log::sequence_conflicts() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return sequence_conflicts_;
}

std::size_t memory_log::size(entry::topic t) const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const at = topics_.find(t);
    return at == topics_.end() ? 0 : at->second.entries.size();
}

memory_workers::memory_workers(tasks::milliseconds run_ms) : run_ms_(run_ms)
{
    timers_.subscribe(answer_interval_ms, [this] { answer_renewals(); });
}

memory_workers::~memory_workers()
{
    timers_.stop();
}

void memory_workers::renew_lease(tasks::renew_order const& order,
                                 std::function<void(tasks::renew_reply)> done)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    pending_renewals_.push_back({order, std::move(done)});
}

void memory_workers::answer_renewals()
{
    std::vector<std::pair<pending_renewal, tasks::renew_reply>> answers;
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        for (auto& h : pending_renewals_)
            answers.emplace_back(h, handle_renewal(h.order));
        pending_renewals_.clear();
    }
    for (auto const& [h, reply] : answers)
        h.done(reply);
}

tasks::renew_reply
memory_workers::handle_renewal(tasks::renew_order const& order)
{
    auto& w = workers_[order.worker];
    tasks::renew_reply reply;
    reply.worker = order.worker;
    reply.clock_ms = runtime::monotonic_ms();
    reply.result =
        order.token < w.token ? call_result::fenced : call_result::done;
    w.token = std::max(w.token, order.token);
    if (order.until_ms > 0)
        ++lease_renewals_[order.token];
    std::erase_if(w.ended, [&](tasks::ended_task const& e)
                  { return e.number <= order.last_seen; });
    for (auto at = w.running.begin(); at != w.running.end();)
    {
        auto const ran_ms = reply.clock_ms - at->second;
        if (ran_ms < run_ms_)
        {
            reply.running.push_back({at->first, "", 1 + ran_ms * 99 / run_ms_});
            ++at;
            continue;
        }
        w.ended.push_back({w.next_end++, at->first, tasks::run_end::done, ""});
        at = w.running.erase(at);
    }
    reply.ended = w.ended;
    return reply;
}

void memory_workers::start(tasks::start_order const& order,
                           std::function<void(tasks::start_reply)> done)
{
    tasks::start_reply reply{order.worker, order.run, call_result::done,
                             runtime::monotonic_ms()};
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        if (!next_start_error_.empty())
            throw std::runtime_error(std::exchange(next_start_error_, {}));
        auto& w = workers_[order.worker];
        if (order.token < w.token)
            reply.result = call_result::fenced;
        else if (w.running.emplace(order.run, reply.clock_ms).second)
        {
            ++starts_[order.run.task];
            used_workers_.insert(order.worker);
        }
    }
    done(reply);
}

void memory_workers::stop(tasks::stop_order const& order,
                          std::function<void(call_result)> done)
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        auto& w = workers_[order.worker];
        if (w.running.erase(order.run) > 0)
            w.ended.push_back(
                {w.next_end++, order.run, tasks::run_end::stopped, ""});
    }
    done(call_result::done);
}

void memory_workers::advise(tasks::advice_order const& order,
                            std::function<void(tasks::advice_reply)> done)
{
    tasks::advice_reply reply;
    reply.step = order.step;
    reply.result = call_result::done;
    reply.valid_ms = 1'000;
    for (auto const& worker : order.workers)
        reply.good[worker] = "ticket";
    done(reply);
}

int memory_workers::lease_renewals(std::int64_t token) const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const at = lease_renewals_.find(token);
    return at == lease_renewals_.end() ? 0 : at->second;
}

int memory_workers::unacknowledged_ends() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    std::size_t count = 0;
    for (auto const& [id, w] : workers_)
        count += w.ended.size();
    return static_cast<int>(count);
}

std::set<std::string> memory_workers::used_workers() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return used_workers_;
}

void memory_workers::fail_next_start(std::string reason)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    next_start_error_ = std::move(reason);
}

std::map<tasks::task_id, int> memory_workers::starts() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return starts_;
}

std::optional<tasks::configuration>
memory_decoder::configuration_of(entry::log_entry const&, std::string&) const
{
    return config_;
}

std::optional<entry::evacuation>
memory_decoder::evacuation_of(entry::log_entry const& e) const
{
    constexpr std::string_view prefix = "evacuate/";
    if (!e.key.starts_with(prefix))
        return std::nullopt;
    return entry::evacuation{e.key.substr(prefix.size()), !e.value.empty()};
}

std::optional<tasks::worker_info>
memory_decoder::worker_of(entry::log_entry const& e, std::string&) const
{
    tasks::worker_info w;
    w.id = e.key;
    w.address = e.key;
    w.service = "service";
    w.rack = "r1";
    w.capacity = {64'000, 128'000, 8};
    return w;
}

} // namespace support
