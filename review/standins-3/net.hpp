#pragma once
/// \file
/// HTTP on loopback for the stand-ins of this review: a server, single calls,
/// and a proxy whose connections can be made silent.

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace jasminetrack::review3
{

using milliseconds = std::int64_t;

/// \returns milliseconds of the steady clock.
[[nodiscard]] milliseconds now_ms();
/// \returns milliseconds since 1970.
[[nodiscard]] milliseconds wall_ms();
void sleep_ms(milliseconds time);
/// \returns a port of the loopback interface on which nothing listens.
[[nodiscard]] std::uint16_t free_port();
/// \returns the port of "127.0.0.1:PORT".
[[nodiscard]] std::uint16_t port_of(std::string const& address);
/// \returns "127.0.0.1:PORT".
[[nodiscard]] std::string loopback(std::uint16_t port);

/// A request as a stand-in gets it. Names of headers are in lower case.
struct request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// What a stand-in does with a request.
enum class reply : std::uint8_t
{
    answer,
    reset, ///< the connection ends without an answer
    mute,  ///< the connection returns nothing and stays open
};

/// The answer of a stand-in.
struct response
{
    int status = 200;
    std::string body = "{}";
    std::string content_type = "application/json";
    reply how = reply::answer;
};

/// Serves each connection on a thread of its own.
class server
{
public:
    using handler = std::function<response(request const&)>;

    /// \param port  to listen on; 0: one of its own choice
    explicit server(handler handle, std::uint16_t port = 0);
    ~server();

    [[nodiscard]] std::string address() const;
    /// Closes all connections and ends all threads.
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// A call of a client.
struct call
{
    std::string address;
    std::string method;
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body;
    milliseconds timeout_ms = 3'000;
};

/// The answer to a call; the status is 0 if there was none in time.
struct call_answer
{
    int status = 0;
    std::string body;
};

/// Makes the call on a connection of its own.
[[nodiscard]] call_answer send(call const& c);

/// Forwards connections to another address.
class link
{
public:
    explicit link(std::string target);
    ~link();

    [[nodiscard]] std::string address() const;
    /// The connections that are open now return nothing any more and are not
    /// closed. New ones work.
    void silence_open();
    /// \returns how many connections were made silent.
    [[nodiscard]] int silenced() const;
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jasminetrack::review3
