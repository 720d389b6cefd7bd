#pragma once
/// \file
/// Control logic of one entry VM, without I/O, threads or clock.

#include <jasminetrack/core/events.hpp>
#include <jasminetrack/core/region_owner.hpp>

namespace jasminetrack::core
{

/// Identity and settings of a node.
struct node_settings
{
    std::string name;
    std::string incarnation; ///< changes with each start of the process
    std::string region;
    timing_settings timing;
    policy_settings policy;

    friend bool operator==(node_settings const&,
                           node_settings const&) = default;
};

/// Last known state of a peer, another entry VM.
struct peer_state
{
    std::string incarnation;
    std::string region;
    milliseconds since_ms = 0;   ///< first heartbeat of this incarnation
    milliseconds heard_ms = 0;   ///< last heartbeat
    milliseconds log_age_ms = 0; ///< since it last read the log to its end
    bool draining = false;
};

/// State machine of one node: takes events and returns actions.
///
/// \code
/// core::node n({.name = "a", .incarnation = "a-1", .region = "bern"});
/// for (auto const& a : n.step(now, core::tick_event{}))
///     perform(a);
/// \endcode
/// \remarks Deterministic: equal events at equal times give equal actions.
class node
{
public:
    explicit node(node_settings settings);
    node(node const&) = delete;
    node(node&&) = default;
    node& operator=(node const&) = delete;
    node& operator=(node&&) = default;

    [[nodiscard]] cluster_state const& state() const noexcept
    {
        return state_;
    }
    [[nodiscard]] node_settings const& settings() const noexcept
    {
        return settings_;
    }
    [[nodiscard]] std::map<std::string, peer_state> const&
    peers() const noexcept
    {
        return peers_;
    }
    /// \returns the time since the log was last read to its end; a very large
    /// value if it never was.
    [[nodiscard]] milliseconds log_age(milliseconds now) const noexcept;
    /// Whether this node can rely on its configuration and ownership: it read
    /// the log recently, or all other entry VMs say that they cannot read the
    /// log either.
    [[nodiscard]] bool is_current(milliseconds now) const;
    /// Whether the process of an incarnation sent a heartbeat recently.
    [[nodiscard]] bool seems_alive(milliseconds now,
                                   std::string const& incarnation) const;
    [[nodiscard]] bool owns_any_region() const noexcept
    {
        return !owners_.empty();
    }
    [[nodiscard]] bool draining() const noexcept
    {
        return draining_;
    }

    /// Handles one event.
    /// \param now time of a monotonic clock, ms
    /// \returns the actions to perform.
    [[nodiscard]] actions step(milliseconds now, event const& e);
    /// Starts from the state of a snapshot instead of the first log record.
    void restore(cluster_state state);

private:
    void handle(milliseconds now, tick_event const&, actions& out);
    void handle(milliseconds now, log_entries_event const& e, actions& out);
    void handle(milliseconds now, log_caught_up_event const& e, actions& out);
    void handle(milliseconds now, peer_event const& e, actions& out);
    void handle(milliseconds now, vm_list_event const& e, actions& out);
    void handle(milliseconds now, worker_report_event const& e, actions& out);
    void handle(milliseconds now, worker_timeout_event const& e, actions& out);
    void handle(milliseconds now, drain_event const&, actions& out);

    /// Adds and removes controllers so that they match the state's owners.
    void update_owned_regions(milliseconds now);
    void evaluate_claims(milliseconds now, actions& out);
    void evaluate_claim(milliseconds now, std::string const& region,
                        actions& out);
    /// Proposes a claim without a holder.
    void release_region(milliseconds now, std::string const& region,
                        actions& out);
    /// Steps the controllers of all owned regions.
    void step_owners(milliseconds now, actions& out);
    /// Whether an owner sends heartbeats and reads the log.
    [[nodiscard]] bool is_alive(milliseconds now, ownership const& owner) const;
    /// Whether a peer can own regions: it sent a heartbeat recently, reads the
    /// log and is not draining.
    [[nodiscard]] bool is_eligible(milliseconds now, peer_state const& p) const;
    /// Whether this node should release a region: this node is draining, or
    /// is in another region while an eligible peer in `region` has been up
    /// long enough.
    [[nodiscard]] bool should_hand_over(milliseconds now,
                                        std::string const& region) const;
    /// \returns the rank of this node among the nodes that are eligible to own
    /// a region; 0 is first.
    [[nodiscard]] std::size_t rank_for(milliseconds now,
                                       std::string const& region) const;
    /// \returns the entry VMs that the platform lists, or, before the first
    /// list, the peers that were heard.
    [[nodiscard]] std::set<std::string> other_nodes() const;
    /// Whether the node says now that it cannot read the log.
    [[nodiscard]] bool is_without_log(milliseconds now,
                                      std::string const& name) const;
    /// Whether the log was read to its end within owner_lease_ms.
    [[nodiscard]] bool is_fresh(milliseconds now) const noexcept;

    node_settings settings_;
    cluster_state state_;
    std::map<std::string, peer_state> peers_;
    std::vector<worker> listed_;
    std::set<std::string> listed_entries_; ///< names, as the platform knows
    std::map<std::string, region_owner> owners_;
    std::map<std::string, milliseconds> vacant_since_ms_;
    std::map<std::string, milliseconds> claim_proposed_ms_;
    milliseconds log_caught_up_ms_ = -1;
    milliseconds last_step_ms_ = -1;
    milliseconds started_ms_ = -1;
    milliseconds resumed_ms_ = -1; ///< end of the last pause of the process
    bool draining_ = false;
};

} // namespace jasminetrack::core
