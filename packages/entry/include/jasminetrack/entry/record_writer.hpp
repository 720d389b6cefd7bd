#pragma once
/// \file
/// Appends records of request handlers to the log in batches. Records that
/// are queued while an append is in flight go into the next batch.

#include <jasminetrack/entry/append_timeout.hpp>
#include <jasminetrack/entry/ports.hpp>
#include <jasminetrack/runtime/timer_service.hpp>

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>

namespace jasminetrack::entry
{

enum class write_result : std::uint8_t
{
    stored,
    refused, ///< not stored, and never will be
    unknown, ///< may be stored, now or later
};

/// Appends records as one log writer, with at most one batch in flight. Safe
/// to use from several threads.
class record_writer
{
public:
    /// The record writer must outlive `timers`.
    /// \param name  name of the log writer; unique for each process start
    record_writer(log_port& log, topic t, std::string name,
                  runtime::timer_service& timers);

    /// Appends a record and waits until the log has confirmed it. Both time
    /// limits count from the call.
    /// \param refuse_after_ms a record that was not sent by then is withdrawn
    ///                        and refused
    /// \param wait_ms         the outcome of a record that was sent but not
    ///                        confirmed by then is unknown
    [[nodiscard]] write_result write(tasks::log_record record,
                                     milliseconds refuse_after_ms,
                                     milliseconds wait_ms);

private:
    struct pending_record
    {
        tasks::log_record record;
        bool sent = false;
        bool withdrawn = false;
        std::optional<write_result> result;
    };

    /// Forms a new batch of queued records. \returns false if none is queued.
    [[nodiscard]] bool form_batch();
    /// Sends the batch if `wanted`; unlocks `lock` during the call to the log.
    void send(std::unique_lock<std::mutex>& lock, bool wanted);
    void on_answer(append_answer const& a);
    void on_timer();
    /// \returns whether a new record is refused without an append. While the
    /// log fails, one record per probe interval is let through.
    [[nodiscard]] bool refuses_records();

    log_port& log_;
    topic topic_;
    log_writer writer_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::shared_ptr<pending_record>> queue_;
    std::vector<std::shared_ptr<pending_record>> batch_; ///< in flight
    bool outcome_unknown_ = false; ///< the batch may be in the log
    bool retry_pending_ = false;   ///< the timer sends the batch again
    append_timeout timeout_;
    milliseconds sent_ms_ = 0; ///< latest send of the batch
    milliseconds failing_since_ms_ = -1;
    milliseconds next_probe_ms_ = 0;
};

} // namespace jasminetrack::entry
