#pragma once
/// \file
/// One connection of an HTTP server. It reads a request, passes it on, writes
/// the response and reads the next request. No operation blocks, and each one
/// that depends on the peer has a time limit.

#include <jasminetrack/runtime/http_server.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <functional>
#include <list>
#include <memory>
#include <optional>

namespace jasminetrack::runtime::detail
{

class http_connection;

/// What the connections of a server share. Used on the server's I/O thread
/// only, except for `running`.
struct connection_registry
{
    using connection_list = std::list<std::shared_ptr<http_connection>>;

    server_limits limits;
    connection_list waiting; ///< for their peers, the longest first
    connection_list busy;    ///< with a request that is handled or answered
    connection_list ended;   ///< half-closed; nothing more is read from them
    bool ending = false;     ///< connections without a request are half-closed
    std::int64_t buffered_bytes = 0;      ///< of all bodies that are held
    std::atomic<std::int64_t> running{0}; ///< requests that were passed on

    /// Called with each request that is read completely; answered later by
    /// http_connection::respond().
    std::function<void(std::shared_ptr<http_connection>, http_request)>
        on_request;
    std::function<void()> on_begin; ///< the head of a request was read
    std::function<void()> on_end;   ///< its response was written or failed

    [[nodiscard]] std::size_t size() const noexcept
    {
        return waiting.size() + busy.size() + ended.size();
    }
    /// Closes the connection that has waited longest for its peer.
    /// \returns false if none waits.
    bool close_longest_waiting();
    void close_all();
    /// Half-closes the connections on which no request has begun, and from now
    /// on each further one after its last response.
    void end_idle();
    /// \returns true if no request can be read any more and all are answered.
    [[nodiscard]] bool all_ended() const noexcept
    {
        return ending && waiting.empty() && busy.empty();
    }
    /// Closes connections whose body is incomplete, the oldest first, until the
    /// bodies that are held are within limits.buffered_bytes.
    void limit_buffered_bytes();
};

/// Used on the server's I/O thread only.
class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
    http_connection(boost::asio::ip::tcp::socket socket,
                    connection_registry& registry);

    void start();
    /// Writes the response to the current request.
    void respond(http_response response);
    void close();
    /// Half-closes the connection unless a request has begun on it.
    void end_if_idle();
    [[nodiscard]] std::int64_t body_size() const noexcept
    {
        return body_size_;
    }

private:
    using error_code = boost::beast::error_code;
    using parser =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    void wait_for_request();
    /// Called if the wait for a request ended without input.
    void on_no_request(error_code code);
    void end();
    void read_header();
    void on_header(error_code code);
    void on_malformed_header(error_code code);
    void accept_header();
    /// \returns the response to a request that is rejected for its head.
    [[nodiscard]] std::optional<http_response> check_header() const;
    void start_body();
    void send_continue();
    void read_body();
    void on_body_part(error_code code);
    void pass_on();
    /// Answers the current request without reading the rest of it, then closes
    /// the connection.
    void reject(http_response response);
    void write(http_response response);
    void on_written(error_code code);
    void discard_input();
    void end_request();
    void move_to(connection_registry::connection_list& list);

    boost::beast::tcp_stream stream_;
    connection_registry& registry_;
    boost::beast::flat_buffer buffer_;
    std::optional<parser> parser_;
    http_request request_;
    std::optional<boost::beast::http::response<boost::beast::http::string_body>>
        response_;
    std::int64_t body_size_ = 0; ///< counted in the registry
    std::int64_t discarded_bytes_ = 0;
    bool idle_ = false;         ///< no byte of the next request was read
    bool request_open_ = false; ///< its head was read, no response written
    bool running_ = false;      ///< it counts in the registry
    bool keep_alive_ = false;
    bool unread_input_ = false; ///< the current request is not read to its end
    connection_registry::connection_list* list_ = nullptr;
    connection_registry::connection_list::iterator position_;
};

} // namespace jasminetrack::runtime::detail
