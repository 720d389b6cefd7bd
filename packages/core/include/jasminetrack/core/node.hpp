#pragma once
/// \file
/// The control logic of one entry VM, without I/O, threads or clock.

#include <jasminetrack/core/events.hpp>
#include <jasminetrack/core/region_owner.hpp>

namespace jasminetrack::core
{

/// Who this node is.
struct node_settings
{
    std::string name;
    std::string incarnation; ///< new with every start of the process
    std::string region;
    timing_settings timing;
    policy_settings policy;

    friend bool operator==(node_settings const&,
                           node_settings const&) = default;
};

/// What a node knows of another.
struct peer_state
{
    std::string incarnation;
    std::string region;
    milliseconds since_ms = 0; ///< first heard of this incarnation
    milliseconds heard_ms = 0;
    milliseconds log_age_ms = 0;
    bool draining = false;
};

/// One node: events in, actions out.
///
/// \code
/// core::node n({.name = "a", .incarnation = "a-1", .region = "bern"});
/// for (auto const& act : n.step(now, core::tick_event{}))
///     perform(act);
/// \endcode
/// \remarks Equal events at equal times give equal actions.
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
    /// Since the log was last read to its end; a large value if never.
    [[nodiscard]] milliseconds log_age(milliseconds now) const noexcept;
    /// Whether no newer configuration or ownership can be in force than the
    /// one known here: the log was read lately, or no peer can read it.
    [[nodiscard]] bool is_current(milliseconds now) const;
    /// Whether the process behind an incarnation seems to run.
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

    /// Takes one event at time `now` (ms of a clock that never goes back).
    [[nodiscard]] actions step(milliseconds now, event const& e);
    /// Starts from a snapshot in place of the log's first record.
    void restore(cluster_state state);

private:
    void take(milliseconds now, tick_event const&, actions& out);
    void take(milliseconds now, log_entries_event const& e, actions& out);
    void take(milliseconds now, log_caught_up_event const& e, actions& out);
    void take(milliseconds now, peer_event const& e, actions& out);
    void take(milliseconds now, vm_list_event const& e, actions& out);
    void take(milliseconds now, worker_report_event const& e, actions& out);
    void take(milliseconds now, worker_timeout_event const& e, actions& out);
    void take(milliseconds now, drain_event const&, actions& out);

    void follow_ownership(milliseconds now);
    void consider_claims(milliseconds now, actions& out);
    void consider_claim(milliseconds now, std::string const& region,
                        actions& out);
    void give_up(milliseconds now, std::string const& region, actions& out);
    void act(milliseconds now, actions& out);
    [[nodiscard]] bool is_alive(milliseconds now, ownership const& owner) const;
    /// Whether a peer can act: heard lately, with the log, not draining.
    [[nodiscard]] bool is_able(milliseconds now, peer_state const& p) const;
    /// Whether a region that this node owns from outside should go to a
    /// steady peer inside it.
    [[nodiscard]] bool should_hand_over(milliseconds now,
                                        std::string const& region) const;
    /// Place of this node among those that could take a region; 0 is first.
    [[nodiscard]] std::size_t rank_for(milliseconds now,
                                       std::string const& region) const;
    [[nodiscard]] bool is_fresh(milliseconds now) const noexcept;

    node_settings settings_;
    cluster_state state_;
    std::map<std::string, peer_state> peers_;
    std::vector<worker> listed_;
    std::map<std::string, region_owner> owners_;
    std::map<std::string, milliseconds> vacant_since_;
    std::map<std::string, milliseconds> claimed_at_;
    milliseconds contact_ms_ = -1;
    milliseconds last_step_ms_ = -1;
    milliseconds started_ms_ = -1;
    milliseconds resumed_ms_ = -1; ///< contact from before does not count
    bool draining_ = false;
};

} // namespace jasminetrack::core
