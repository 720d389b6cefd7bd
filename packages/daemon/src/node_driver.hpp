#pragma once
/// \file
/// Connects the core's node to the clock, the log, its peers and the workers.

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

/// Counters of a node_driver.
struct node_driver_metrics
{
    std::atomic<std::uint64_t> orders{0};
    std::atomic<std::uint64_t> order_bytes{0};
    std::atomic<std::uint64_t> unanswered_orders{0};
    std::atomic<std::uint64_t> records_applied{0};
    std::atomic<std::uint64_t> relayed{0};
    std::atomic<std::uint64_t> failed_log_calls{0};
};

/// Passes events to the node of this process and carries out its actions. Safe
/// to use from several threads; one lock guards the node.
class node_driver
{
public:
    explicit node_driver(protocol::daemon_settings settings);
    ~node_driver();

    /// \returns false and sets `reason` if the mesh address cannot be bound.
    [[nodiscard]] bool start(std::string& reason);
    void stop();

    /// Calls `function` with the node under the lock, which blocks all other
    /// use of the node.
    template <typename Function> auto with_node(Function function) const
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        return function(node_);
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
    [[nodiscard]] runtime::log_client_stats log_stats() const
    {
        return log_.stats();
    }
    [[nodiscard]] std::uint64_t mesh_bytes() const noexcept
    {
        return mesh_.bytes_sent();
    }
    [[nodiscard]] vm_list listed_vms() const;
    /// \returns whether more nodes took another digest of the state than this
    /// node's.
    [[nodiscard]] bool diverged() const;
    [[nodiscard]] runtime::timeline& events() noexcept
    {
        return events_;
    }
    [[nodiscard]] change_notifier& changes() noexcept
    {
        return changes_;
    }

    /// Appends a record and waits until the state machine has applied it.
    /// \param until_ms  monotonic
    /// \param sequence  set to the record's sequence, for withdraw()
    /// \returns the result; nothing if it was not known by `until_ms`.
    [[nodiscard]] std::optional<core::apply_result>
    propose(core::record body, std::int64_t until_ms, std::uint64_t& sequence);
    /// Appends a record without waiting.
    void append(core::record body);
    /// Withdraws a record that was not sent yet.
    /// \returns true if the record will never be in the log.
    [[nodiscard]] bool withdraw(std::uint64_t sequence);
    /// Releases the regions that the node owns. \returns false if it still
    /// owns one at `until_ms`.
    bool drain(std::int64_t until_ms);
    /// Waits for a read of the log to its end that began during this call.
    /// \param until_ms  on the monotonic clock
    /// \returns whether there was one in time.
    [[nodiscard]] bool await_read(std::int64_t until_ms);

private:
    /// Sends a call. `done` is not called after stop() has begun.
    void send(runtime::http_client_request call,
              std::function<void(runtime::http_client_result const&)> done);
    void handle_event(core::event const& e);
    void perform(core::actions const& list);
    void perform_one(core::append_action const& a);
    void perform_one(core::order_action const& a);
    void perform_one(core::record_applied_action const& a);
    /// Applies entries. At a mark, appends a digest of the state and, if this
    /// node wrote the mark, a snapshot.
    void apply_entries(std::vector<core::log_entry> const& entries);
    void on_mark(core::log_entry const& mark);
    /// Counts a node's digest. Drains this node if more nodes took another
    /// digest than its own.
    void add_digest_vote(core::log_entry const& e,
                         core::digest_record const& vote);
    /// Starts to restore the state from a snapshot, from the oldest record
    /// that the log still has.
    void recover_from(std::uint64_t first);
    /// \returns whether the state was restored with this page.
    [[nodiscard]] bool recover(protocol::log_page const& page);
    void append_mark_if_due();
    void on_page(protocol::log_page const& page, std::int64_t request_ms);
    void on_peer(protocol::bytes const& data);
    void send_heartbeats();
    void poll_vm_list();
    void on_vm_list(runtime::http_client_result const& answer);
    /// Keeps entries to relay them to peers without contact to the log.
    void keep_recent(std::vector<core::log_entry> const& entries);
    [[nodiscard]] std::vector<core::log_entry>
    recent_entries_from(std::uint64_t next) const;

    /// The newest heartbeat of a peer.
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
    mutable std::mutex mutex_; ///< guards the members up to client_
    core::node node_;
    vm_list listed_vms_;
    std::deque<core::log_entry> recent_entries_;
    std::map<std::string, peer_status> peer_status_;
    std::map<std::uint64_t, std::optional<core::apply_result>> results_;
    protocol::digest_votes votes_;
    std::map<core::log_offset, std::string> own_digests_;
    std::optional<protocol::snapshot_reader> recovery_;
    bool diverged_ = false;
    std::int64_t last_mark_sent_ms_ = 0;

    runtime::http_client client_;
    std::atomic<bool> stopping_{false};
    std::atomic<bool> polling_{false};
    std::atomic<int> open_calls_{0}; ///< calls without an answer yet
    runtime::peer_mesh mesh_;
    runtime::log_client log_;
    runtime::timer_service timers_;
};

} // namespace jasminetrack::daemon
