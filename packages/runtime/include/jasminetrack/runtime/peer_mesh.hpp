#pragma once
/// \file
/// Messages between entry VMs over web sockets. This header must compile as
/// C++17, because websocketpp does not support C++20.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jasminetrack::runtime
{

/// A web socket connection to each peer. A node sends on the connections that
/// it opened and receives on those that its peers opened. A connection whose
/// pings are not answered is closed and opened again.
class peer_mesh
{
public:
    using message = std::vector<std::uint8_t>;

    /// \param address    IP:port to listen on
    /// \param on_message called on the mesh's thread for each received message
    peer_mesh(std::string const& address,
              std::function<void(message const&)> on_message);
    ~peer_mesh();

    /// Starts to listen and to connect.
    /// \returns false and sets `reason` if it cannot listen on the address.
    [[nodiscard]] bool start(std::string& reason);
    /// Replaces the set of peers. Connections to peers that are missing or have
    /// a different address are closed.
    /// \param peers name -> IP:port
    void set_peers(std::map<std::string, std::string> const& peers);
    /// Sends a message without waiting. The message is dropped if there is no
    /// open connection to the peer or too much unsent data on it.
    void send(std::string const& peer, message data);
    /// Stops the mesh's thread. Nothing is sent or received afterwards.
    void stop();

    /// \returns the bytes of all messages sent, without framing.
    [[nodiscard]] std::uint64_t bytes_sent() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jasminetrack::runtime
