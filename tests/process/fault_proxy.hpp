#pragma once
/// \file
/// A TCP proxy that injects faults between two processes.

#include <cstdint>
#include <memory>
#include <string>

namespace process_tests
{

/// What the proxy does with bytes of one direction.
enum class traffic
{
    pass,
    discard, ///< take them and say nothing; the connection stays open
};

/// Forwards from a port of its own to a target. Faults apply at once, also
/// to open connections, and to new ones where `existing_only` says so.
class fault_proxy
{
public:
    /// \param target IP:port
    explicit fault_proxy(std::string const& target);
    ~fault_proxy();

    [[nodiscard]] std::string address() const;
    [[nodiscard]] std::uint64_t bytes() const noexcept;

    /// Refuses new connections and closes the open ones.
    void set_blocked(bool on);
    /// Open connections go silent; new ones work if `existing_only`.
    void set_traffic(traffic to_target, traffic to_caller, bool existing_only);
    /// Delays every chunk by `ms` in each direction.
    void set_delay(int ms);
    /// Everything passes again, for open and new connections.
    void clear_faults();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// \returns a port that is free now.
[[nodiscard]] int free_port();

} // namespace process_tests
