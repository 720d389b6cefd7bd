#pragma once
/// \file
/// Drives the core's node with real time, log, peers and workers.

#include "change_notifier.hpp"
#include "vm_list.hpp"

#include <jasminetrack/core/node.hpp>
#include <jasminetrack/protocol/daemon_settings.hpp>
#include <jasminetrack/protocol/snapshot.hpp>
#include <jasminetrack/runtime/http_client.hpp>
#include <jasminetrack/runtime/log_client.hpp>
#include <jasminetrack/runtime/peer_mesh.hpp>
#include <jasminetrack/runtime/timeline.hpp>
#include <jasminetrack/runtime/timer_service.hpp>

#include <atomic>
#include <deque>
#include <mutex>
#include <optional>

namespace jasminetrack::daemon
{

/// Counters for the metrics.
struct node_driver_metrics
{
    std::atomic<std::uint64_t> orders{0};
    std::atomic<std::uint64_t> order_bytes{0};
    std::atomic<std::uint64_t> unanswered_orders{0};
    std::atomic<std::uint64_t> records_applied{0};
    std::atomic<std::uint64_t> relayed{0};
    std::atomic<std::uint64_t> failed_log_calls{0};
};

/// The node of this process with all that moves it. Safe to use from
/// several threads; the node stands under one lock.
class node_driver
{
public:
    explicit node_driver(protocol::daemon_settings settings);
    ~node_driver();

    /// \returns false with a reason when an address cannot be taken.
    [[nodiscard]] bool start(std::string& reason);
    void stop();

    /// Calls `look` with the node, under the lock; keep it short.
    template <typename Look> auto with_node(Look look) const
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        return look(node_);
    }
    [[nodiscard]] std::string const& incarnation() const noexcept
    {
        return incarnation_;
    }
    [[nodiscard]] protocol::daemon_settings const& settings() const noexcept
    {
        return settings_;
    }
    [[nodiscard]] node_driver_metrics const& metrics() const noexcept
    {
        return metrics_;
    }
    [[nodiscard]] runtime::log_client_stats log_client_stats() const
    {
        return log_.stats();
    }
    [[nodiscard]] std::uint64_t mesh_bytes() const noexcept
    {
        return mesh_.bytes_sent();
    }
    [[nodiscard]] vm_list listed_vms() const;
    /// Whether this node's state is another than the log's other readers'.
    [[nodiscard]] bool diverged() const;
    [[nodiscard]] runtime::timeline& events() noexcept
    {
        return events_;
    }
    [[nodiscard]] change_notifier& changes() noexcept
    {
        return changes_;
    }

    /// Appends a record and waits for the fold's apply_result.
    /// \returns nothing if it did not come in time; `sequence` then tells
    /// which record is open.
    [[nodiscard]] std::optional<core::apply_result>
    propose(core::record body, std::int64_t until_ms, std::uint64_t& sequence);
    /// Appends without waiting.
    void append(core::record body);
    /// \returns true if the record will surely never be in the log.
    [[nodiscard]] bool withdraw(std::uint64_t sequence);
    /// Hands over what the node owns. \returns false if that took too long.
    bool drain(std::int64_t until_ms);

private:
    /// Sends; `done` is called unless this part is being stopped.
    void send(runtime::http_client_request call,
              std::function<void(runtime::http_client_result const&)> done);
    void handle_event(core::event const& e);
    void perform(core::actions const& todo);
    void perform_one(core::append_action const& a);
    void perform_one(core::order_action const& a);
    void perform_one(core::record_applied_action const& a);
    /// Applies entries; takes digests and snapshots at marks.
    void apply_entries(std::vector<core::log_entry> const& entries);
    void on_mark(core::log_entry const& mark);
    /// Steps aside if the other nodes took another digest.
    void count_vote(core::log_entry const& e, core::digest_record const& vote);
    /// Reads on from the oldest record that the log still has.
    void recover_from(std::uint64_t first);
    [[nodiscard]] bool recover(protocol::log_page const& page);
    void mark_if_due();
    void on_page(protocol::log_page const& page, std::int64_t asked_ms);
    void on_peer(protocol::bytes const& data);
    void send_heartbeats();
    void poll_vm_list();
    void on_vm_list(runtime::http_client_result const& answer);
    void keep_recent(std::vector<core::log_entry> const& entries);
    [[nodiscard]] std::vector<core::log_entry>
    recent_entries_from(std::uint64_t next) const;

    /// What a peer last said, to answer it.
    struct peer_status
    {
        std::int64_t sent_ms = 0;
        std::uint64_t next = 0;
        std::int64_t log_age_ms = 0;
    };

    protocol::daemon_settings settings_;
    std::string incarnation_;
    runtime::timeline events_;
    change_notifier changes_;
    node_driver_metrics metrics_;
    mutable std::mutex mutex_; ///< guards the members up to the blank line
    core::node node_;
    vm_list listed_vms_;
    std::deque<core::log_entry> recent_;
    std::map<std::string, peer_status> peer_status_;
    std::map<std::uint64_t, std::optional<core::apply_result>> verdicts_;
    protocol::digest_votes votes_;
    std::map<core::log_offset, std::string> own_digests_;
    std::optional<protocol::snapshot_reader> recovery_;
    bool diverged_ = false;
    std::int64_t marked_ms_ = 0;

    runtime::http_client client_;
    std::atomic<bool> stopping_{false};
    std::atomic<bool> polling_{false};
    std::atomic<int> calls_{0}; ///< whose answers will still come
    runtime::peer_mesh mesh_;
    runtime::log_client log_;
    runtime::timer_service timers_;
};

} // namespace jasminetrack::daemon
