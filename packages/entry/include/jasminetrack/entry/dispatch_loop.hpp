#pragma once
/// \file
/// Claims the dispatcher's role when no node holds it, and carries out the
/// dispatcher's orders. All events are processed on one thread, through a
/// queue.

#include <jasminetrack/entry/append_timeout.hpp>
#include <jasminetrack/entry/gauges.hpp>
#include <jasminetrack/entry/job_table.hpp>
#include <jasminetrack/entry/latencies.hpp>
#include <jasminetrack/entry/log_survey.hpp>
#include <jasminetrack/entry/node_record.hpp>
#include <jasminetrack/entry/settings.hpp>
#include <jasminetrack/entry/topic_follower.hpp>
#include <jasminetrack/runtime/timer_service.hpp>
#include <jasminetrack/tasks/leadership.hpp>
#include <jasminetrack/tasks/speed_record.hpp>

#include <deque>

namespace jasminetrack::entry
{

/// A node's relation to the dispatcher's role.
enum class dispatch_rank : std::uint8_t
{
    dispatcher, ///< holds the role
    standby,    ///< among the first nodes to claim it
    other,
};

/// Runs a tasks::dispatcher while this node holds the role. The public
/// functions are safe to use from several threads.
class dispatch_loop
{
public:
    /// How the node learns from the other VMs of outages of the log, and what
    /// it tells them.
    struct outage_ports
    {
        log_survey& survey;
        outage_reports& reports;
    };

    /// \param jobs  reads the jobs into `table` and calls on_jobs()
    dispatch_loop(entry_settings const& settings, std::string incarnation,
                  platform_ports ports, outage_ports outages, job_table& table,
                  topic_follower& jobs, runtime::timer_service& timers,
                  latencies& l);
    ~dispatch_loop();

    [[nodiscard]] dispatch_metrics metrics() const;
    [[nodiscard]] dispatch_rank rank() const;

    void start();
    /// Records the resignation in the log, so that another node can claim the
    /// role at once; this node does not claim it again.
    void resign();
    void stop();

    // Called by the topic followers, on their threads.
    void on_configuration(std::shared_ptr<tasks::configuration const> c);
    /// \param as_of  the log held no later records of operators at this time
    void on_evacuations(std::set<std::string> data_centers, milliseconds as_of);
    void on_jobs(std::vector<std::string> ids);
    void on_work(topic_page const& page);
    void on_work_read_failed();
    void on_peer(std::string const& node, node_record const& peer);

private:
    using work_item = std::function<void()>;

    static constexpr milliseconds workers_long_poll_ms = 1'000;

    /// Queues work for the loop's thread.
    void post(work_item work);
    void log_decision(tasks::decision const& d);
    void count(std::int64_t dispatch_metrics::*which);
    void run();
    /// Runs one work item. After an exception, this node gives up the role, so
    /// that the next dispatcher starts from the state in the log.
    void process(work_item const& work);
    void tick();
    /// \returns the extra delay of a claim while this node has no recent view
    /// of the jobs.
    [[nodiscard]] milliseconds unread_jobs_delay() const;
    void claim();
    void on_claim_answer(tasks::role_record const& role,
                         append_answer const& a);
    void take_over();
    /// Reads the topic of jobs to the end that it has now, or a later one. The
    /// dispatcher decides nothing before.
    void read_jobs();
    void on_jobs_read(std::int64_t epoch, bool reached);
    /// Tells the dispatcher up to when it knows the jobs.
    void post_jobs_currency();
    /// Hands the role on if the jobs cannot be read here.
    void check_jobs_read(milliseconds now);
    /// While the log confirms no append, asks the other VMs whether it is away
    /// for them as well.
    void survey_outage(milliseconds now);
    void on_survey(std::int64_t epoch, milliseconds asked_at,
                   survey_answers const& a);
    void step_down(std::string const& why);
    /// Passes a job that has not ended to the dispatcher.
    void forward_job(std::string const& id);
    void handle_progress(log_entry const& e);
    void read_slower_workers(log_entry const& e);
    void perform_actions();
    void perform(tasks::renew_order const& o);
    void perform(tasks::start_order const& o);
    void perform(tasks::stop_order const& o);
    void perform(tasks::store_order const& o);
    void perform(tasks::advice_order const& o);
    /// Appends `records` and the first queued store order. Only one append is
    /// in flight.
    void append(std::vector<tasks::log_record> records);
    /// Sends the append in flight, for the first time or again.
    void send_append();
    void on_append_answer(std::int64_t epoch, append_answer const& a);
    void record_failed_append(milliseconds now, append_answer const& a);
    void record_stored_append(milliseconds now);
    /// Appends what is due, if no append is in flight: queued store orders, the
    /// resignation, or a heartbeat.
    void append_if_due(milliseconds now);
    /// Records in the log that this node gives up the role.
    void give_up_role(std::string const& why);
    /// \returns whether the newest reading of the load in the log is too old.
    [[nodiscard]] bool is_load_due(milliseconds now) const;
    /// \returns the record with the load of now, if load is shed.
    [[nodiscard]] tasks::log_record heartbeat_record();
    void on_workers(topic_page const& page);
    void on_workers_read_failed();
    void unlist_workers_except(milliseconds now,
                               std::set<std::string> const& seen);

    entry_settings settings_;
    std::string incarnation_;
    platform_ports ports_;
    outage_ports outages_;
    job_table& table_;
    topic_follower& jobs_follower_;
    runtime::timer_service& timers_;
    latencies& latencies_;
    topic_follower workers_follower_;

    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<work_item> queue_;
    bool stopping_ = false;
    bool tick_queued_ = false;
    dispatch_metrics metrics_;
    std::atomic<bool> standby_{true};
    std::thread thread_;

    std::int64_t first_sequence_; ///< of each epoch's appends

    // The members below are used on the loop's thread only.
    tasks::claim_order claim_order_;
    tasks::leadership leadership_;
    std::unique_ptr<tasks::dispatcher> dispatcher_;
    std::shared_ptr<tasks::configuration const> config_;
    std::set<std::string> evacuated_;     ///< data centers
    milliseconds evacuations_as_of_ = -1; ///< -1: not read yet
    /// As the newest dispatcher has recorded them.
    std::vector<tasks::slower_worker> slower_workers_;
    std::int64_t work_next_ = -1;    ///< end of the topic of work; -1: not read
    milliseconds claim_sent_ms_ = 0; ///< newest claim of this node
    /// When the newest record of a dispatcher before that claim was read.
    milliseconds earlier_proof_ms_ = 0;
    std::int64_t epoch_ = 0; ///< while leading
    std::int64_t sequence_ = 0;
    /// Since when the dispatcher waits for the jobs; -1: it has them.
    milliseconds reading_jobs_since_ms_ = -1;
    bool jobs_read_failed_ = false; ///< the next tick reads them again
    std::optional<append_call> append_in_flight_;
    std::int64_t store_batch_ = 0;      ///< of that append; 0: a heartbeat
    bool append_retry_pending_ = false; ///< the next tick sends it again
    std::deque<tasks::store_order> store_queue_;
    append_timeout append_timeout_;
    milliseconds last_append_ms_ = 0;
    milliseconds load_sent_ms_ = 0;      ///< when the load was last published
    milliseconds append_started_ms_ = 0; ///< first send of that append
    milliseconds append_sent_ms_ = 0;    ///< its latest send
    milliseconds log_failing_since_ms_ = -1; ///< -1: appends succeed
    milliseconds role_confirmed_ms_ = 0;     ///< when an append was confirmed
    milliseconds surveyed_ms_ = 0;           ///< begin of the newest survey
    bool survey_open_ = false;               ///< it waits for answers
    bool outage_confirmed_ = false;          ///< result of the newest survey
    std::set<std::string> listed_workers_;
    bool resigning_ = false;
};

} // namespace jasminetrack::entry
