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

/// A log that gave no good answer for this long takes nothing: new records
/// are refused at once.
constexpr milliseconds failing_ms = 600;
constexpr milliseconds retry_ms = 100;
/// While the log takes nothing, one record is tried this often.
constexpr milliseconds probe_every_ms = 250;
constexpr std::size_t most_a_batch = 64;

} // namespace

record_writer::record_writer(log_port& log, topic t, std::string name,
                             runtime::timer_service& timers)
    : log_(log), topic_(t), writer_{std::move(name), 1, 0}
{
    timers.subscribe(retry_ms, [this] { on_timer(); });
}

write_result record_writer::write(tasks::log_record record,
                                  milliseconds refuse_after_ms,
                                  milliseconds wait_ms)
{
    using std::chrono::milliseconds;
    using clock = std::chrono::steady_clock;
    auto const mine = std::make_shared<entry>();
    mine->record = std::move(record);
    std::unique_lock<std::mutex> lock(mutex_);
    if (is_failing())
        return write_result::refused;
    queue_.push_back(mine);
    if (batch_.empty())
        send(lock, next_batch());
    auto const begun = clock::now();
    auto const ended = [&] { return mine->result.has_value(); };
    if (changed_.wait_until(lock, begun + milliseconds(refuse_after_ms), ended))
        return *mine->result;
    if (!mine->sent)
    {
        mine->withdrawn = true;
        return write_result::refused;
    }
    if (changed_.wait_until(lock, begun + milliseconds(wait_ms), ended))
        return *mine->result;
    return write_result::unknown;
}

bool record_writer::is_failing()
{
    auto const now = monotonic_ms();
    if (failing_since_ < 0 || now - failing_since_ <= failing_ms)
        return false;
    if (!batch_.empty() || now < probe_at_)
        return true;
    probe_at_ = now + probe_every_ms;
    return false;
}

bool record_writer::next_batch()
{
    while (!queue_.empty() && batch_.size() < most_a_batch)
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
    unsure_ = false;
    return true;
}

void record_writer::send(std::unique_lock<std::mutex>& lock, bool wanted)
{
    if (!wanted)
        return;
    append_call call;
    call.topic = topic_;
    call.writer = writer_;
    for (auto const& e : batch_)
        call.records.push_back(e->record);
    // The log may answer within the call.
    lock.unlock();
    log_.append(std::move(call),
                [this](append_answer const& a) { answered(a); });
    lock.lock();
}

void record_writer::answered(append_answer const& a)
{
    std::unique_lock<std::mutex> lock(mutex_);
    if (a.result == append_result::stored)
    {
        if (failing_since_ >= 0)
            write_log(log_level::info, "log.append.back",
                      {{"failing_ms",
                        std::to_string(monotonic_ms() - failing_since_)}});
        failing_since_ = -1;
        for (auto const& e : batch_)
            e->result = write_result::stored;
        batch_.clear();
        changed_.notify_all();
        send(lock, next_batch());
        return;
    }
    if (failing_since_ < 0)
    {
        failing_since_ = monotonic_ms();
        write_log(log_level::warning, "log.append.failing",
                  {{"reason", a.reason}});
    }
    unsure_ = unsure_ || a.result == append_result::unknown;
    if (!unsure_)
    {
        // Nothing was done: each record's own time decides how long to try.
        for (auto const& e : batch_)
            e->result = write_result::refused;
        batch_.clear();
        changed_.notify_all();
        --writer_.sequence;
        send(lock, next_batch());
        return;
    }
    retry_ = true; // with the next timer: the same bytes, same sequence
}

void record_writer::on_timer()
{
    std::unique_lock<std::mutex> lock(mutex_);
    send(lock, std::exchange(retry_, false));
}

} // namespace jasminetrack::entry
