#pragma once
/// \file
/// A platform in memory for entry processes: a log with the rules of the real
/// one, and workers that run every task for a short time. Safe to use from
/// several threads.

#include <jasminetrack/entry/ports.hpp>
#include <jasminetrack/runtime/timer_service.hpp>

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>

namespace support
{

using namespace jasminetrack;

/// A log that fences writers, counts sequences and keeps the newest of keys.
class memory_log : public entry::log_port
{
public:
    void append(entry::append_call call,
                std::function<void(entry::append_answer)> done) override;
    [[nodiscard]] entry::read_answer
    read(entry::read_call const& call) override;
    [[nodiscard]] entry::newest_answer
    read_newest(entry::topic t, std::string const& after) override;

    /// Appends as an operator or a worker would.
    void put(entry::topic t, std::string const& key, std::string const& value);
    /// While down, every call is refused.
    void set_down(bool down);
    [[nodiscard]] int sequence_conflicts() const;
    [[nodiscard]] std::size_t size(entry::topic t) const;

private:
    struct writer_state
    {
        std::int64_t epoch = 0;
        std::int64_t sequence = 0;
        std::map<std::int64_t, std::int64_t> ends; ///< by sequence
    };
    struct partition
    {
        std::vector<entry::log_entry> entries;
        std::map<std::string, writer_state> writers;
    };

    [[nodiscard]] entry::append_answer take(entry::append_call const& call);

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<entry::topic, partition> topics_;
    bool down_ = false;
    int sequence_conflicts_ = 0;
};

/// Workers that run each task for `run_ms` and then say that it is done.
class memory_workers : public entry::worker_port
{
public:
    explicit memory_workers(tasks::milliseconds run_ms);
    ~memory_workers() override;

    void renew_lease(tasks::renew_order const& order,
                     std::function<void(tasks::renew_reply)> done) override;
    void start(tasks::start_order const& order,
               std::function<void(tasks::start_reply)> done) override;
    void stop(tasks::stop_order const& order,
              std::function<void(tasks::call_result)> done) override;
    void advise(tasks::advice_order const& order,
                std::function<void(tasks::advice_reply)> done) override;

    /// \returns how often each task was started.
    [[nodiscard]] std::map<tasks::task_id, int> starts() const;

private:
    struct worker_state
    {
        std::int64_t token = 0;
        std::map<tasks::task_run, tasks::milliseconds> running;
        std::vector<tasks::ended_task> ended;
        std::int64_t next_end = 1;
    };

    struct waiting_hold
    {
        tasks::renew_order order;
        std::function<void(tasks::renew_reply)> done;
    };

    void answer_holds();
    [[nodiscard]] tasks::renew_reply take(tasks::renew_order const& order);

    tasks::milliseconds run_ms_;
    mutable std::mutex mutex_;
    std::vector<waiting_hold> holds_;
    std::map<std::string, worker_state> workers_;
    std::map<tasks::task_id, int> starts_;
    runtime::timer_service timers_;
};

/// Configurations and workers stand in the log under plain names: an entry's
/// value is ignored.
class memory_decoder : public entry::record_decoder
{
public:
    explicit memory_decoder(tasks::configuration config)
        : config_(std::move(config))
    {
    }

    [[nodiscard]] std::optional<tasks::configuration>
    configuration_of(entry::log_entry const& e,
                     std::string& reason) const override;
    [[nodiscard]] std::optional<tasks::worker_info>
    worker_of(entry::log_entry const& e, std::string& reason) const override;

private:
    tasks::configuration config_;
};

} // namespace support
