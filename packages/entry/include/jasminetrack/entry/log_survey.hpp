#pragma once
/// \file
/// Whether the log is away for all entry VMs. A dispatcher that cannot reach
/// the log asks the others: while none of them can read it, none can claim the
/// role, so that running work keeps its leases through the outage.

#include <jasminetrack/entry/relay.hpp>

#include <atomic>

namespace jasminetrack::entry
{

/// What this VM tells the others of the log. A VM that has told of an outage
/// counts the leases of earlier dispatchers from then on, if it takes the role.
/// Safe to use from several threads.
class outage_reports
{
public:
    /// A read of the log has succeeded or failed.
    void on_read(bool succeeded) noexcept;
    /// This node holds the dispatcher's role, or no longer does.
    void set_leading(bool leading) noexcept;
    /// Answers another VM.
    /// \returns whether the log is away here and this node does not hold the
    /// role.
    [[nodiscard]] bool report(milliseconds now) noexcept;
    /// \returns when another VM was told of an outage for the last time; -1:
    /// never. To be called after set_leading(true).
    [[nodiscard]] milliseconds newest() const noexcept;

private:
    std::atomic<bool> readable_{false};
    std::atomic<bool> leading_{false};
    std::atomic<milliseconds> told_at_{-1};
};

/// The answers of the other VMs to one survey.
struct survey_answers
{
    std::size_t asked = 0;    ///< all other VMs that are known
    std::size_t away = 0;     ///< for which the log is away
    std::size_t readable = 0; ///< which can read it, or hold the role

    friend bool operator==(survey_answers const&,
                           survey_answers const&) = default;
};

/// \returns whether the answers show that no other VM can claim the role: no VM
/// can read the log, and the VMs that say so are, with this one, more than
/// half. A smaller group may be cut off from the others.
[[nodiscard]] bool confirms_outage(survey_answers const& a) noexcept;

/// Asks the other entry VMs. Safe to use from several threads.
class log_survey
{
public:
    log_survey(runtime::http_client& client, peer_directory& peers);

    /// Calls `done` once, on any thread, after all VMs have answered or the
    /// time-out has passed.
    void ask(std::function<void(survey_answers const&)> done);

private:
    runtime::http_client& client_;
    peer_directory& peers_;
};

/// Serves GET /log-state: a CBOR array of one boolean, whether the log is away
/// for this VM.
[[nodiscard]] runtime::http_response serve_log_state(outage_reports& reports);
/// \returns whether the request is one for serve_log_state().
[[nodiscard]] bool is_log_state_request(runtime::http_request const& request);

} // namespace jasminetrack::entry
