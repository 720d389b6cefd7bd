#pragma once
/// \file
/// Puts records of request handlers into the log. What is queued while an
/// append is under way goes into the next one.

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
    refused, ///< surely not stored, now or later
    unknown,
};

/// Safe to use from several threads.
class record_writer
{
public:
    /// Must outlive the timers.
    record_writer(log_port& log, topic t, std::string name,
                  runtime::timer_service& timers);

    /// Waits for the log's answer.
    /// \param refuse_after_ms a log that takes nothing is given this long
    /// \param wait_ms         an append without answer is given this long
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

    /// Takes queued records into a new batch. \returns false if there is none.
    [[nodiscard]] bool form_batch();
    /// Sends the batch if it is wanted; gives the lock up meanwhile.
    void send(std::unique_lock<std::mutex>& lock, bool wanted);
    void on_answer(append_answer const& a);
    void on_timer();
    /// \returns whether a new record is refused at once; lets one through
    /// now and then.
    [[nodiscard]] bool refuses_records();

    log_port& log_;
    topic topic_;
    log_writer writer_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::shared_ptr<pending_record>> queue_;
    std::vector<std::shared_ptr<pending_record>> batch_; ///< under way
    bool outcome_unknown_ = false; ///< the batch may be in the log
    bool retry_pending_ = false;   ///< the batch is to be sent again
    milliseconds failing_since_ms_ = -1;
    milliseconds next_probe_ms_ = 0;
};

} // namespace jasminetrack::entry
