#pragma once
/// \file
/// HTTP server that handles requests on a fixed number of threads. A thread of
/// its own reads and writes; it waits neither for a peer nor for the handler.

#include <jasminetrack/runtime/http.hpp>

#include <cstddef>
#include <functional>
#include <memory>

namespace jasminetrack::runtime
{

/// Limits of a server. Requests beyond them are rejected before the handler is
/// called.
struct server_limits
{
    int threads = 32; ///< that run the handler
    std::int64_t body_bytes = 1024 * 1024;
    std::int64_t header_bytes = 16 * 1024; ///< of path and headers together
    std::int64_t requests = 256; ///< running, queued or answered at once
    std::int64_t buffered_bytes = 32 * 1024 * 1024; ///< of all bodies together
    std::size_t connections = 2'048;

    friend bool operator==(server_limits const&,
                           server_limits const&) = default;
};

/// An HTTP server. The handler runs on the server's threads and may block; an
/// exception that it throws becomes a response with status 500.
class http_server
{
public:
    using handler = std::function<http_response(http_request const&)>;

    /// \param address IP:port to listen on
    http_server(std::string address, server_limits limits, handler handle);
    ~http_server();

    /// \returns the number of requests that run or are queued.
    [[nodiscard]] std::int64_t in_flight() const noexcept;

    /// Starts to listen.
    /// \returns false and sets `reason` if it cannot listen on the address.
    [[nodiscard]] bool start(std::string& reason);
    /// Accepts no new connections and waits until all requests are answered,
    /// those that arrive meanwhile and those that are read in part included.
    /// Then half-closes all connections; nothing is read from them any more.
    /// \returns false if requests are left after `drain_ms`.
    bool drain(std::int64_t drain_ms);
    /// Drains the server, then closes it.
    /// \returns false if requests were left after `drain_ms`; their
    /// connections are closed.
    bool stop(std::int64_t drain_ms);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// Sets the number of threads of the HTTP client library. Must be called before
/// any other use of the library, so at the start of main().
void limit_http_threads(int count);

} // namespace jasminetrack::runtime
