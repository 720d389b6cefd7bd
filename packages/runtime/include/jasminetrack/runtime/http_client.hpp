#pragma once
/// \file
/// HTTP client that reports for each request whether it can have reached the
/// peer.

#include <jasminetrack/runtime/http.hpp>

#include <functional>
#include <memory>

namespace jasminetrack::runtime
{

/// An HTTP client that reuses its connections. A request is sent once, unless
/// it asks for a second send or is a GET without a body; redirects are not
/// followed. Safe to use from several threads.
class http_client
{
public:
    http_client();
    ~http_client();

    /// Sends a request and calls `done` once, on a thread of the HTTP library,
    /// or on the caller's if the address or the path is malformed. A failure is
    /// reported in the result, not as an exception; an exception that `done`
    /// throws is logged.
    void send(http_client_request call,
              std::function<void(http_client_result)> done);
    /// Sends a request and waits for its result.
    [[nodiscard]] http_client_result send(http_client_request call);

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace jasminetrack::runtime
