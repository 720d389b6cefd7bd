#pragma once
/// \file
/// Sends HTTP requests; says for each whether it can have arrived.

#include <jasminetrack/runtime/http.hpp>

#include <functional>
#include <memory>

namespace jasminetrack::runtime
{

/// An HTTP client that keeps connections to its peers.
class http_client
{
public:
    http_client();
    ~http_client();

    /// Sends and calls back once, on a thread of the library.
    void send(http_client_request call,
              std::function<void(http_client_result)> done);
    /// Sends and waits.
    [[nodiscard]] http_client_result send(http_client_request call);

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace jasminetrack::runtime
