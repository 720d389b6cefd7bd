#pragma once
/// \file
/// HTTP as values: requests, replies and answers.

#include <cstdint>
#include <map>
#include <string>

namespace jasminetrack::runtime
{

using header_map = std::map<std::string, std::string>;

/// A request as a handler gets it. Header names are in lower case.
struct http_request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    header_map headers;
    std::string body;
};

struct http_response
{
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    header_map headers;
};

/// A request to send. `address` is IP:port.
struct http_client_request
{
    std::string address;
    std::string method = "GET";
    std::string path = "/";
    std::string body;
    std::string content_type = "application/json";
    header_map headers;
    std::int64_t timeout_ms = 5000;
    /// On a connection of its own. The library sends a request again when a
    /// reused connection closes; what must not be repeated needs this.
    bool fresh_connection = false;
};

/// What became of a sent request.
enum class delivery : std::uint8_t
{
    answered, ///< a whole answer came
    not_sent, ///< no connection; nothing reached the peer
    unknown,  ///< sent, but no whole answer came in time
};

struct http_client_result
{
    delivery result = delivery::unknown;
    int status = 0;
    std::string body;
    header_map headers;
    std::string reason; ///< when there is no answer
};

/// \returns the header's value or an empty text; `name` in lower case.
[[nodiscard]] std::string header_value(header_map const& headers,
                                       std::string const& name);

/// \returns the digest that goes with a body, as 16 hexadecimal digits.
[[nodiscard]] std::string digest_of(std::string const& body);

} // namespace jasminetrack::runtime
