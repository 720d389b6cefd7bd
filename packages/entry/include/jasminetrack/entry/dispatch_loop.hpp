#pragma once
/// \file
/// Claims the dispatcher's role when nobody holds it, and carries out what
/// the dispatcher decides. One thread; all events go through its queue.

#include <jasminetrack/entry/gauges.hpp>
#include <jasminetrack/entry/job_table.hpp>
#include <jasminetrack/entry/latencies.hpp>
#include <jasminetrack/entry/node_record.hpp>
#include <jasminetrack/entry/settings.hpp>
#include <jasminetrack/entry/topic_follower.hpp>
#include <jasminetrack/runtime/timer_service.hpp>
#include <jasminetrack/tasks/leadership.hpp>

#include <deque>

namespace jasminetrack::entry
{

/// Where a node stands in line for the dispatcher's role.
enum class dispatch_rank : std::uint8_t
{
    dispatcher,
    standby,
    other,
};

class dispatch_loop
{
public:
    dispatch_loop(entry_settings const& settings, std::string incarnation,
                  platform_ports ports, job_table& table,
                  runtime::timer_service& timers, latencies& l);
    ~dispatch_loop();

    [[nodiscard]] dispatch_metrics metrics() const;
    [[nodiscard]] dispatch_rank rank() const;

    void start();
    /// Gives the role up; another node may claim it at once.
    void resign();
    void stop();

    // From the followers, on any thread.
    void on_configuration(std::shared_ptr<tasks::configuration const> c);
    void on_jobs(std::vector<std::string> ids);
    void on_work(std::vector<log_entry> entries, std::int64_t next,
                 bool reloaded);
    void on_work_failed();
    void on_peer(std::string const& node, node_record const& peer);

private:
    using task = std::function<void()>;

    void post(task work);
    void note(tasks::decision const& d);
    void count(std::int64_t dispatch_metrics::*which);
    void run();
    void tick();
    void claim();
    void claimed(tasks::role_record const& role, append_answer const& a);
    void take_over();
    void step_down(std::string const& why);
    void offer_job(std::string const& id);
    void note_progress(log_entry const& e);
    void drain_actions();
    void perform(tasks::renew_order const& o);
    void perform(tasks::start_order const& o);
    void perform(tasks::stop_order const& o);
    void perform(tasks::store_order const& o);
    void perform(tasks::advice_order const& o);
    void append(std::vector<tasks::log_record> records);
    void append_again();
    void appended(std::int64_t term, append_answer const& a);
    void give_sign(milliseconds now);
    [[nodiscard]] tasks::log_record sign_of_life() const;
    void on_workers(std::vector<log_entry> const& entries, bool reloaded);

    entry_settings settings_;
    std::string incarnation_;
    platform_ports ports_;
    job_table& table_;
    runtime::timer_service& timers_;
    latencies& latencies_;
    topic_follower workers_follower_;

    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<task> queue_;
    bool stopping_ = false;
    bool tick_queued_ = false;
    dispatch_metrics metrics_;
    std::atomic<bool> standby_{true};
    std::thread thread_;

    std::int64_t first_sequence_; ///< of an epoch's appends

    // Below: only the loop's thread.
    tasks::claim_order claims_;
    tasks::leadership leadership_;
    std::unique_ptr<tasks::dispatcher> dispatcher_;
    std::shared_ptr<tasks::configuration const> config_;
    std::int64_t work_next_ = -1;
    std::int64_t term_ = 0; ///< epoch while leading
    std::int64_t sequence_ = 0;
    std::optional<append_call> append_; ///< under way
    std::int64_t append_batch_ = 0;     ///< 0: only a sign of life
    bool append_waits_ = false;         ///< to be sent again
    std::deque<tasks::store_order> to_store_;
    milliseconds appended_at_ = 0;
    milliseconds append_begun_ = 0;
    milliseconds log_failing_since_ = -1;
    std::set<std::string> listed_;
    bool resigning_ = false;
};

} // namespace jasminetrack::entry
