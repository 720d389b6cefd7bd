#pragma once
/// \file
/// Relays calls to the platform's log through another entry VM while the log
/// refuses this one or the network path to it is broken. Calls to the log are
/// idempotent, so the same call may be sent both directly and through a peer.

#include <jasminetrack/entry/ports.hpp>
#include <jasminetrack/runtime/http.hpp>
#include <jasminetrack/runtime/http_client.hpp>

#include <array>
#include <map>
#include <mutex>

namespace jasminetrack::entry
{

/// Mesh addresses of the other entry VMs, in the order in which they are
/// tried. Safe to use from several threads.
class peer_directory
{
public:
    explicit peer_directory(std::string self);

    /// \returns the first `max_count` addresses, or all if there are fewer.
    [[nodiscard]] std::vector<std::string> first(std::size_t max_count);

    /// Adds a node or updates its address; ignores this node's own.
    void put(std::string const& node, std::string const& address);
    /// Moves the first address to the end.
    void rotate();
    /// Moves the address of a peer that could not relay a call to the end.
    void move_to_back(std::string const& address);

private:
    std::string self_;
    std::mutex mutex_;
    std::map<std::string, std::string> addresses_;
    std::vector<std::string> rotation_;
};

/// Decides whether a call on one topic goes to the log directly or through a
/// peer. Safe to use from several threads.
class log_route_health
{
public:
    /// \returns whether a call should go to the log directly. While the direct
    /// path fails, this is true for one call per retry interval.
    [[nodiscard]] bool try_direct(milliseconds now);
    /// \returns whether the last direct call failed.
    [[nodiscard]] bool degraded() const;
    /// \returns whether a call may go through a peer.
    [[nodiscard]] bool may_try_peers(milliseconds now) const;

    /// \returns whether this ends a failure of the direct path.
    bool on_direct_success();
    /// \returns whether this begins a failure of the direct path.
    bool on_direct_failure(milliseconds now);
    /// The direct path works for another topic, so the next call tries it.
    void retry_direct_now();
    /// Stops relaying for a while: a peer could not reach the log either.
    void on_peer_failure(milliseconds now);

private:
    mutable std::mutex mutex_;
    bool degraded_ = false;
    milliseconds direct_retry_ms_ = 0;
    milliseconds peers_retry_ms_ = 0;
};

/// The log over the direct path, or over a peer while that path fails. Safe to
/// use from several threads.
class relayed_log : public log_port
{
public:
    relayed_log(log_port& direct, runtime::http_client& client,
                peer_directory& peers);

    void append(append_call call,
                std::function<void(append_answer)> done) override;
    [[nodiscard]] read_answer read(read_call const& call) override;
    [[nodiscard]] newest_answer read_newest(topic t,
                                            std::string const& after) override;

private:
    void append_via_peer(append_call call, append_answer direct,
                         std::function<void(append_answer)> done);
    [[nodiscard]] log_route_health& health_of(topic t)
    {
        return health_[static_cast<std::size_t>(t)];
    }
    void record_direct_failure(topic t, std::string const& reason);
    void record_direct_success(topic t);
    /// \returns the CBOR body of a peer's answer; nothing if no peer answered.
    [[nodiscard]] std::optional<std::string>
    call_peer(topic t, std::string body, milliseconds timeout);

    log_port& direct_;
    runtime::http_client& client_;
    peer_directory& peers_;
    /// By topic: the log may serve some of them only.
    std::array<log_route_health, topic_count> health_;
};

/// Serves POST /relay: carries out a peer's call to the log, in CBOR, on the
/// direct path.
[[nodiscard]] runtime::http_response
serve_relay(log_port& direct, runtime::http_request const& request);

} // namespace jasminetrack::entry
