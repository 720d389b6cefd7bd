#include <jasminetrack/entry/record_writer.hpp>

#include <jasminetrack/runtime/logging.hpp>
#include <jasminetrack/runtime/timer_service.hpp>

#include <chrono>
#include <utility>

namespace jasminetrack::entry
{
namespace
{

using runtime::log_level;
using runtime::monotonic_ms;
using runtime::write_log;

/// After the log has stored nothing for this long, new records are refused
/// without an append.
constexpr milliseconds refuse_after_failing_ms = 600;
constexpr milliseconds retry_interval_ms = 100;
/// While records are refused, one is appended at this interval to find out
/// whether the log is back.
constexpr milliseconds probe_interval_ms = 250;
constexpr std::size_t max_batch_records = 64;

} // namespace

record_writer::record_writer(log_port& log, topic t, std::string name,
                             runtime::timer_service& timers)
    : log_(log), topic_(t), writer_{std::move(name), 1, 0}
{
    timers.subscribe(retry_interval_ms, [this] { on_timer(); });
}

write_result record_writer::write(tasks::log_record record,
                                  milliseconds refuse_after_ms,
                                  milliseconds wait_ms)
{
    using std::chrono::milliseconds;
    using clock = std::chrono::steady_clock;
    auto const pending = std::make_shared<pending_record>();
    pending->record = std::move(record);
    std::unique_lock<std::mutex> lock(mutex_);
    if (refuses_records())
        return write_result::refused;
    queue_.push_back(pending);
    if (batch_.empty())
        send(lock, form_batch());
    auto const begun = clock::now();
    auto const ended = [&] { return pending->result.has_value(); };
    if (changed_.wait_until(lock, begun + milliseconds(refuse_after_ms), ended))
        return *pending->result;
    if (!pending->sent)
    {
        pending->withdrawn = true;
        return write_result::refused;
    }
    if (changed_.wait_until(lock, begun + milliseconds(wait_ms), ended))
        return *pending->result;
    return write_result::unknown;
}

bool record_writer::refuses_records()
{
    auto const now = monotonic_ms();
    if (failing_since_ms_ < 0 ||
        now - failing_since_ms_ <= refuse_after_failing_ms)
        return false;
    if (!batch_.empty() || now < next_probe_ms_)
        return true;
    next_probe_ms_ = now + probe_interval_ms;
    return false;
}

bool record_writer::form_batch()
{
    while (!queue_.empty() && batch_.size() < max_batch_records)
    {
        auto const next = queue_.front();
        queue_.pop_front();
        if (next->withdrawn)
            continue;
        next->sent = true;
        batch_.push_back(next);
    }
    if (batch_.empty())
        return false;
    ++writer_.sequence;
    outcome_unknown_ = false;
    return true;
}

void record_writer::send(std::unique_lock<std::mutex>& lock, bool wanted)
{
    if (!wanted)
        return;
    append_call call;
    call.topic = topic_;
    call.writer = writer_;
    call.timeout_ms = timeout_.limit();
    sent_ms_ = monotonic_ms();
    for (auto const& e : batch_)
        call.records.push_back(e->record);
    // The log may call back within append(), and on_answer() takes the lock.
    lock.unlock();
    log_.append(std::move(call),
                [this](append_answer const& a) { on_answer(a); });
    lock.lock();
}

void record_writer::on_answer(append_answer const& a)
{
    std::unique_lock<std::mutex> lock(mutex_);
    if (a.result == append_result::stored)
    {
        if (failing_since_ms_ >= 0)
            write_log(log_level::info, "log.append.back",
                      {{"failing_ms",
                        std::to_string(monotonic_ms() - failing_since_ms_)}});
        failing_since_ms_ = -1;
        timeout_.on_answer(monotonic_ms() - sent_ms_);
        for (auto const& e : batch_)
            e->result = write_result::stored;
        batch_.clear();
        changed_.notify_all();
        send(lock, form_batch());
        return;
    }
    if (failing_since_ms_ < 0)
    {
        failing_since_ms_ = monotonic_ms();
        write_log(log_level::warning, "log.append.failing",
                  {{"reason", a.reason}});
    }
    if (a.result == append_result::unknown)
        timeout_.on_missing_answer();
    outcome_unknown_ = outcome_unknown_ || a.result == append_result::unknown;
    if (!outcome_unknown_)
    {
        // The log stored nothing. Callers decide whether to write again, so
        // the sequence is free for the next batch.
        for (auto const& e : batch_)
            e->result = write_result::refused;
        batch_.clear();
        changed_.notify_all();
        --writer_.sequence;
        send(lock, form_batch());
        return;
    }
    // The batch may be stored. The next timer sends the same records under the
    // same sequence, which the log confirms if it has them.
    retry_pending_ = true;
}

void record_writer::on_timer()
{
    std::unique_lock<std::mutex> lock(mutex_);
    send(lock, std::exchange(retry_pending_, false));
}

} // namespace jasminetrack::entry
