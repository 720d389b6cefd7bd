#pragma once
/// \file
/// A daemon process without any peer: its log, workers and other entry VMs
/// cannot be reached.

#include "child_process.hpp"

#include <memory>
#include <string>
#include <vector>

namespace process_tests
{

/// An HTTP listener of a daemon.
struct http_endpoint
{
    std::string name;
    std::string address; ///< IP:port
    std::string path;    ///< a GET of it is answered
};

/// Starts the daemon and stops it on destruction.
class lone_daemon
{
public:
    /// The interface that the daemon serves.
    enum class interface
    {
        own,     ///< tickets, calls and gang jobs
        platform ///< general jobs of the users' platform
    };

    /// Waits until the daemon answers.
    /// \throws std::runtime_error if it does not answer in time
    explicit lone_daemon(interface served);
    ~lone_daemon();
    lone_daemon(lone_daemon const&) = delete;
    lone_daemon& operator=(lone_daemon const&) = delete;

    [[nodiscard]] child_process& process() noexcept
    {
        return *process_;
    }
    [[nodiscard]] std::vector<http_endpoint> const& endpoints() const noexcept
    {
        return endpoints_;
    }
    /// \returns the listener of the web-socket mesh, which only the own
    /// interface has.
    [[nodiscard]] http_endpoint const& mesh() const noexcept
    {
        return mesh_;
    }
    /// \returns whether all HTTP listeners answer within two seconds each.
    [[nodiscard]] bool answers() const;
    /// \returns how often a text is in the daemon's log.
    [[nodiscard]] int count_log_lines(std::string const& text) const;

private:
    [[nodiscard]] std::string write_settings(interface served);

    std::string folder_;
    std::vector<http_endpoint> endpoints_;
    http_endpoint mesh_;
    std::unique_ptr<child_process> process_;
};

} // namespace process_tests
