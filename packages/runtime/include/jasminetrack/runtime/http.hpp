#pragma once
/// \file
/// Value types for HTTP: requests and responses on the server side and on the
/// client side.

#include <cstdint>
#include <map>
#include <string>

namespace jasminetrack::runtime
{

using header_map = std::map<std::string, std::string>;

/// A request as a server's handler receives it. The path and the query are
/// URL-decoded and header names are in lower case; values are as received.
struct http_request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    header_map headers;
    std::string body;
};

/// The response that a server's handler returns.
struct http_response
{
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    header_map headers;
};

/// A request to be sent by a client.
struct http_client_request
{
    std::string address; ///< IP:port
    std::string method = "GET";
    std::string path = "/"; ///< with the query, URL-encoded
    std::string body;
    std::string content_type = "application/json";
    header_map headers;
    std::int64_t timeout_ms = 5000;
    /// Opens a new connection for this request, so that a failed connect shows
    /// that the peer received nothing.
    bool fresh_connection = false;
    /// For idempotent requests: sends the request a second time, at once, if
    /// its connection is closed before the response. Without this, a request
    /// that is not a GET without a body is sent once.
    bool resend_if_closed = false;
};

/// Whether a request reached its peer.
enum class delivery : std::uint8_t
{
    answered, ///< a complete response was received
    not_sent, ///< the connection failed; the peer received nothing
    unknown,  ///< the request may have been sent; no complete response
};

/// The result of a sent request. `status`, `body` and `headers` are set if
/// `result` is `answered`; header names are in lower case.
struct http_client_result
{
    delivery result = delivery::unknown;
    int status = 0;
    std::string body;
    header_map headers;
    /// The response is that of a second send. The first one may have been
    /// carried out, so a refusal does not show that nothing was done.
    bool resent = false;
    std::string reason; ///< why there is no response; empty otherwise
};

/// \param name in lower case
/// \returns the header's value; empty if the header is missing.
[[nodiscard]] std::string header_value(header_map const& headers,
                                       std::string const& name);

/// \returns the XXH64 digest of a body as 16 hexadecimal digits, as in the
/// header X-Digest.
[[nodiscard]] std::string digest_of(std::string const& body);

} // namespace jasminetrack::runtime
