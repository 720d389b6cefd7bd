#pragma once
/// \file
/// Serves HTTP on a bounded number of threads.

#include <jasminetrack/runtime/http.hpp>

#include <functional>
#include <memory>

namespace jasminetrack::runtime
{

/// Bounds of a server; what exceeds them is refused before it is handled.
struct server_limits
{
    int threads = 32;
    std::int64_t body_bytes = 1024 * 1024;
    std::int64_t header_bytes = 16 * 1024;
    std::int64_t requests = 256; ///< handled or queued at once

    friend bool operator==(server_limits const&,
                           server_limits const&) = default;
};

/// An HTTP server. The handler runs on one of the server's threads and may
/// block.
class http_server
{
public:
    using handler = std::function<http_response(http_request const&)>;

    /// \param address IP:port to listen on
    http_server(std::string address, server_limits limits, handler handle);
    ~http_server();

    [[nodiscard]] std::int64_t in_flight() const noexcept;

    /// \returns false with a reason when the address cannot be taken.
    [[nodiscard]] bool start(std::string& reason);
    /// Takes no new connections and waits until every request is answered.
    /// The server goes on answering on open connections: a closed listener
    /// of the library answers 404 on those, which would be false.
    /// \returns false if `drain_ms` was not enough.
    bool drain(std::int64_t drain_ms);
    /// Waits until every request is answered and sent, then closes.
    /// \returns false if `drain_ms` was not enough; the rest is cut off.
    bool stop(std::int64_t drain_ms);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// Limits the threads that the HTTP library starts; call it first in main.
void limit_http_threads(int count);

} // namespace jasminetrack::runtime
