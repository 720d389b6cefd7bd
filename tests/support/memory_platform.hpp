#pragma once
/// \file
/// An in-memory platform for entry nodes: a log with the same rules as the
/// platform's, and workers that run every task for a fixed time. All classes
/// are safe to use from several threads.

#include <jasminetrack/entry/ports.hpp>
#include <jasminetrack/runtime/timer_service.hpp>

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>

namespace support
{

using namespace jasminetrack;

/// A log that fences writers by epoch, checks sequences and returns the newest
/// entry of each key.
class memory_log : public entry::log_port
{
public:
    memory_log();
    ~memory_log() override;

    void append(entry::append_call call,
                std::function<void(entry::append_answer)> done) override;
    [[nodiscard]] entry::read_answer
    read(entry::read_call const& call) override;
    [[nodiscard]] entry::newest_answer
    read_newest(entry::topic t, std::string const& after) override;

    /// Appends an entry of an operator or a worker, without a writer.
    void put(entry::topic t, std::string const& key, std::string const& value);
    /// Stores appends to the topic at once, but answers them only after this
    /// time, as for a process that was paused in between.
    void delay_append_answers(entry::topic t, tasks::milliseconds ms);
    /// \returns how many appends have repeated an earlier sequence.
    [[nodiscard]] int repeated_appends() const;
    /// While reads of a topic fail, appends to it and other topics go on.
    void fail_reads(entry::topic t, bool fail);
    /// While the log refuses appends, reads go on.
    void refuse_appends(bool refuse);
    /// While the log is down, every call fails.
    void set_down(bool down);
    /// \returns the number of appends with another sequence than expected.
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

    [[nodiscard]] entry::append_answer
    apply_append(entry::append_call const& call);
    void send_delayed_answers();

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<entry::topic, partition> topics_;
    bool down_ = false;
    bool refuses_appends_ = false;
    std::set<entry::topic> unreadable_;
    std::map<entry::topic, tasks::milliseconds> answer_delays_ms_;
    int repeated_appends_ = 0;
    struct delayed_answer
    {
        tasks::milliseconds due = 0;
        entry::append_answer answer;
        std::function<void(entry::append_answer)> done;
    };
    std::vector<delayed_answer> delayed_;
    runtime::timer_service timers_;
    int sequence_conflicts_ = 0;
};

/// Workers that run each task for `run_ms` and then report it as done.
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

    /// Lets the next call of start() throw an exception with this text.
    void fail_next_start(std::string reason);
    /// \returns how often each task was started.
    [[nodiscard]] std::map<tasks::task_id, int> starts() const;
    /// \returns how many renewals with this token have extended a lease.
    [[nodiscard]] int lease_renewals(std::int64_t token) const;
    /// \returns how many ends are listed and not acknowledged.
    [[nodiscard]] int unacknowledged_ends() const;
    /// \returns the workers that have accepted a start.
    [[nodiscard]] std::set<std::string> used_workers() const;

private:
    struct worker_state
    {
        std::int64_t token = 0;
        std::map<tasks::task_run, tasks::milliseconds> running;
        std::vector<tasks::ended_task> ended;
        std::int64_t next_end = 1;
    };

    struct pending_renewal
    {
        tasks::renew_order order;
        std::function<void(tasks::renew_reply)> done;
    };

    void answer_renewals();
    [[nodiscard]] tasks::renew_reply
    handle_renewal(tasks::renew_order const& order);

    tasks::milliseconds run_ms_;
    mutable std::mutex mutex_;
    std::vector<pending_renewal> pending_renewals_;
    std::map<std::string, worker_state> workers_;
    std::map<tasks::task_id, int> starts_;
    std::set<std::string> used_workers_;
    std::map<std::int64_t, int> lease_renewals_; ///< by token
    std::string next_start_error_;               ///< empty: none
    runtime::timer_service timers_;
};

/// Ignores the values of entries: each configuration entry is decoded as the
/// given configuration, and each worker entry as a worker named by its key.
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
    /// The key of an evacuation is "evacuate/" and the data center.
    [[nodiscard]] std::optional<entry::evacuation>
    evacuation_of(entry::log_entry const& e) const override;
    [[nodiscard]] std::optional<tasks::worker_info>
    worker_of(entry::log_entry const& e, std::string& reason) const override;

private:
    tasks::configuration config_;
};

} // namespace support
