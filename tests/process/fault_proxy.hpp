#pragma once
/// \file
/// A TCP proxy that injects network faults between two processes.

#include <cstdint>
#include <memory>
#include <string>

namespace process_tests
{

/// What the proxy does with the bytes of one direction.
enum class traffic
{
    pass,
    discard, ///< reads and drops them; the connection stays open
};

/// Forwards connections from a port of its own to a target. Faults take effect
/// at once, also on open connections.
class fault_proxy
{
public:
    /// \param target  IP:port
    explicit fault_proxy(std::string const& target);
    ~fault_proxy();

    /// \returns IP:port that the proxy listens on.
    [[nodiscard]] std::string address() const;
    /// \returns bytes read so far in both directions.
    [[nodiscard]] std::uint64_t bytes() const noexcept;

    /// If on, closes the open connections and each new one once accepted.
    void set_blocked(bool on);
    /// Sets what happens to bytes on open connections, and on new ones unless
    /// `existing_only`.
    void set_traffic(traffic to_target, traffic to_caller, bool existing_only);
    /// Delays each chunk by `ms` in either direction.
    void set_delay(int ms);
    /// Removes all faults, for open and new connections.
    void clear_faults();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// \returns a free port of a range that belongs to this process.
[[nodiscard]] int free_port();

} // namespace process_tests
