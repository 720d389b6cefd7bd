#pragma once
/// \file
/// One entry process on a platform: reads the log, serves callers, and
/// dispatches while it holds the dispatcher's role.

#include <jasminetrack/entry/dispatch_loop.hpp>
#include <jasminetrack/entry/job_requests.hpp>
#include <jasminetrack/entry/relay.hpp>

namespace jasminetrack::entry
{

/// Safe to use from several threads.
class entry_node
{
public:
    entry_node(entry_settings const& settings, platform_ports ports);
    ~entry_node();

    /// \returns the newest configuration; null until one was read.
    [[nodiscard]] std::shared_ptr<tasks::configuration const>
    configuration() const;
    /// Reads the configuration first if it was not read recently.
    /// \returns false if a newer one may have been in force for a while.
    [[nodiscard]] bool has_current_configuration();
    [[nodiscard]] job_requests& requests() noexcept
    {
        return requests_;
    }
    /// \returns whether the load balancer should send callers to this node.
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] bool draining() const noexcept
    {
        return draining_;
    }
    /// \returns the metrics in Prometheus' text format.
    [[nodiscard]] std::string metrics() const;
    /// Serves a request of another entry VM.
    [[nodiscard]] runtime::http_response
    serve_peer(runtime::http_request const& request);

    void start();
    /// Resigns the dispatcher's role; from then on is_ready() returns false.
    void drain();
    void stop();

private:
    void apply_configuration(std::vector<log_entry> const& entries);
    void apply_evacuations(topic_page const& page);
    void log_evacuations(std::set<std::string> const& before,
                         topic_page const& page) const;
    /// Passes the newest reading of the load on.
    void apply_load(topic_page const& page);
    void apply_jobs(std::vector<log_entry> const& entries);
    void set_poll_intervals();
    void apply_peer(log_entry const& e);
    /// Publishes this node's record once; retried after a failure.
    void publish_node_record();

    entry_settings settings_;
    platform_ports ports_;
    runtime::http_client client_;
    peer_directory peers_;
    relayed_log log_;
    log_survey survey_;
    outage_reports outage_reports_;
    std::string incarnation_;
    mutable std::mutex mutex_;
    std::shared_ptr<tasks::configuration const> config_;
    std::set<std::string>
        evacuated_; ///< used by the follower of configurations
    // Used by the follower of work; -1: not yet.
    milliseconds work_end_read_ms_ = -1; ///< when it was read to its end
    milliseconds work_records_ms_ = -1;  ///< when the newest records were read
    view_age jobs_age_;
    view_age work_age_; ///< since a new record of work was read
    std::atomic<bool> draining_{false};
    std::atomic<bool> node_record_published_{false};
    latencies latencies_;
    job_table table_;
    runtime::timer_service timers_;
    record_writer writer_;
    load_admission admission_;
    job_requests requests_;
    dispatch_loop dispatch_;
    topic_follower config_follower_;
    topic_follower jobs_follower_;
    topic_follower work_follower_;
};

} // namespace jasminetrack::entry
