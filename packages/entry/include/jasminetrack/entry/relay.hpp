#pragma once
/// \file
/// Reaches the platform's log through another entry VM when the log turns
/// this one away or the path to it is cut. Calls to the log are idempotent, so
/// one may be tried on both ways.

#include <jasminetrack/entry/ports.hpp>
#include <jasminetrack/runtime/http.hpp>
#include <jasminetrack/runtime/http_client.hpp>

#include <map>
#include <mutex>

namespace jasminetrack::entry
{

/// Internal addresses of the other entry VMs. Safe to use from several
/// threads.
class peer_directory
{
public:
    explicit peer_directory(std::string self);

    /// \returns up to `most` addresses, others first each time.
    [[nodiscard]] std::vector<std::string> first(std::size_t most);

    void put(std::string const& node, std::string const& address);
    /// The first peer goes to the end of the line.
    void rotate();
    /// A peer that did not help goes to the end of the line.
    void move_to_back(std::string const& address);

private:
    std::string self_;
    std::mutex mutex_;
    std::map<std::string, std::string> nodes_;
    std::vector<std::string> order_;
};

/// When the direct way is used. Safe to use from several threads.
class log_route_health
{
public:
    /// \returns whether a call should go to the log directly.
    [[nodiscard]] bool try_direct(milliseconds now);
    [[nodiscard]] bool degraded() const;
    /// \returns whether a call may go through peers.
    [[nodiscard]] bool may_try_peers(milliseconds now) const;

    /// \returns whether this changed what is believed of the direct way.
    bool on_direct_success();
    bool on_direct_failure(milliseconds now);
    /// A peer could not reach the log either.
    void on_peer_failure(milliseconds now);

private:
    mutable std::mutex mutex_;
    bool degraded_ = false;
    milliseconds retry_at_ = 0;
    milliseconds peers_after_ = 0;
};

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
    void append_by_peers(append_call call, append_answer direct,
                         std::function<void(append_answer)> done);
    void direct_failed(std::string const& reason);
    void direct_worked();
    /// \returns the peer's CBOR answer, if one of them reached the log.
    [[nodiscard]] std::optional<std::string> ask_peers(std::string body,
                                                       milliseconds timeout);

    log_port& direct_;
    runtime::http_client& client_;
    peer_directory& peers_;
    log_route_health health_;
};

/// Serves what a peer asks: a call to the log in CBOR at /relay.
[[nodiscard]] runtime::http_response
serve_relay(log_port& direct, runtime::http_request const& request);

} // namespace jasminetrack::entry
