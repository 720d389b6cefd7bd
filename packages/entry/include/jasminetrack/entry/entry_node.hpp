#pragma once
/// \file
/// One entry process on a platform: follows the log, serves callers, and
/// dispatches while it holds that role.

#include <jasminetrack/entry/dispatch_loop.hpp>
#include <jasminetrack/entry/job_requests.hpp>
#include <jasminetrack/entry/relay.hpp>

namespace jasminetrack::entry
{

class entry_node
{
public:
    entry_node(entry_settings const& settings, platform_ports ports);
    ~entry_node();

    /// \returns null until a configuration is known.
    [[nodiscard]] std::shared_ptr<tasks::configuration const>
    configuration() const;
    [[nodiscard]] job_requests& requests() noexcept
    {
        return requests_;
    }
    /// Whether callers should be sent here.
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] bool draining() const noexcept
    {
        return draining_;
    }
    [[nodiscard]] std::string metrics() const;
    /// Answers another entry VM.
    [[nodiscard]] runtime::http_response
    serve_peer(runtime::http_request const& request);

    void start();
    /// Gives up the dispatcher's role and stops being ready.
    void drain();
    void stop();

private:
    void take_configuration(std::vector<log_entry> const& entries);
    void take_jobs(std::vector<log_entry> const& entries);
    void pace_followers();
    void take_peer(log_entry const& e);
    void announce();

    entry_settings settings_;
    platform_ports ports_;
    runtime::http_client client_;
    peer_directory peers_;
    relayed_log log_;
    std::string incarnation_;
    mutable std::mutex mutex_;
    std::shared_ptr<tasks::configuration const> config_;
    view_age jobs_age_;
    view_age config_age_;
    std::atomic<bool> draining_{false};
    std::atomic<bool> announced_{false};
    latencies latencies_;
    job_table table_;
    runtime::timer_service timers_;
    record_writer writer_;
    job_requests requests_;
    dispatch_loop dispatch_;
    topic_follower config_follower_;
    topic_follower jobs_follower_;
    topic_follower work_follower_;
};

} // namespace jasminetrack::entry
