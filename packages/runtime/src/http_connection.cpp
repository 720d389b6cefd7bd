#include "http_connection.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cpprest/base_uri.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <limits>
#include <utility>

namespace jasminetrack::runtime::detail
{
namespace
{

namespace http = boost::beast::http;
using std::chrono::seconds;

constexpr seconds idle_timeout{120}; ///< between two requests
/// The same while connections are ended.
constexpr std::chrono::milliseconds last_request_timeout{200};
constexpr seconds read_timeout{10};  ///< for a head, and for a body
constexpr seconds write_timeout{10}; ///< for a response
constexpr seconds discard_timeout{2};
constexpr std::int64_t max_discarded_bytes = 16 * 1024 * 1024;
constexpr std::size_t first_read_bytes = 2 * 1024;
constexpr std::size_t spare_buffer_bytes = 4 * 1024;
constexpr std::size_t discard_read_bytes = 4 * 1024;
constexpr int status_bad_request = 400;
constexpr int status_length_required = 411;
constexpr int status_too_large = 413;
constexpr int status_header_too_large = 431;
constexpr int status_unavailable = 503;

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::tolower(c)); });
    return text;
}

http_response rejection(int status, std::string const& reason,
                        std::string const& remedy)
{
    return {status,
            "{\"outcome\":\"not_run\",\"step\":\"request.accept\","
            "\"reason\":\"" +
                reason + "\",\"remedy\":\"" + remedy + "\"}",
            "application/json",
            {}};
}

std::int64_t header_size(http_request const& r)
{
    std::size_t size = r.path.size();
    for (auto const& [name, value] : r.headers)
        size += name.size() + value.size();
    return static_cast<std::int64_t>(size);
}

/// \returns the largest size of a head as sent, with its separators, whose
/// path and headers can be within the limit.
std::uint32_t wire_header_limit(server_limits const& limits)
{
    constexpr std::int64_t first_line_bytes = 1024;
    constexpr std::int64_t max_limit = 256 * 1024 * 1024;
    return static_cast<std::uint32_t>(std::min(
        2 * std::min(limits.header_bytes, max_limit) + first_line_bytes,
        max_limit));
}

/// \throws web::uri_exception if the target is malformed
http_request to_request(http::request_header<> const& head)
{
    std::string const sent(head.target());
    // Without a host, "//" at the start of a path would begin one.
    web::uri const target{sent.starts_with("//") ? "http://host" + sent : sent};
    http_request r;
    r.method = std::string(head.method_string());
    r.path = web::uri::decode(target.path());
    for (auto const& [name, value] : web::uri::split_query(target.query()))
        r.query[web::uri::decode(name)] = web::uri::decode(value);
    for (auto const& field : head)
    {
        auto& value = r.headers[to_lower(std::string(field.name_string()))];
        if (!value.empty())
            value += ", ";
        value += std::string(field.value());
    }
    return r;
}

http::response<http::string_body> to_message(http_response response)
{
    http::response<http::string_body> message;
    message.result(static_cast<unsigned>(response.status));
    if (!response.content_type.empty())
        message.set(http::field::content_type, response.content_type);
    for (auto const& [name, value] : response.headers)
        message.set(name, value);
    message.body() = std::move(response.body);
    message.prepare_payload();
    return message;
}

bool is_parse_error(boost::beast::error_code code)
{
    return code.category() ==
               make_error_code(http::error::bad_line_ending).category() &&
           code != http::error::end_of_stream &&
           code != http::error::partial_message;
}

} // namespace

bool connection_registry::close_longest_waiting()
{
    if (waiting.empty())
        return false;
    auto const longest = waiting.front();
    longest->close();
    return true;
}

void connection_registry::close_all()
{
    while (close_longest_waiting())
    {
    }
    while (!busy.empty())
    {
        auto const connection = busy.front();
        connection->close();
    }
    while (!ended.empty())
    {
        auto const connection = ended.front();
        connection->close();
    }
}

void connection_registry::end_idle()
{
    ending = true;
    for (auto const& connection : waiting)
        connection->end_if_idle();
}

void connection_registry::limit_buffered_bytes()
{
    auto const holds_body = [](std::shared_ptr<http_connection> const& c)
    { return c->body_size() > 0; };
    while (buffered_bytes > limits.buffered_bytes)
    {
        auto const oldest =
            std::find_if(waiting.begin(), waiting.end(), holds_body);
        if (oldest == waiting.end())
            return;
        auto const connection = *oldest;
        connection->close();
    }
}

http_connection::http_connection(boost::asio::ip::tcp::socket socket,
                                 connection_registry& registry)
    : stream_(std::move(socket)), registry_(registry),
      buffer_(wire_header_limit(registry.limits) + spare_buffer_bytes)
{
}

void http_connection::start()
{
    boost::system::error_code ignored;
    stream_.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    list_ = &registry_.waiting;
    position_ = list_->insert(list_->end(), shared_from_this());
    wait_for_request();
}

void http_connection::move_to(connection_registry::connection_list& list)
{
    if (list_ == nullptr)
        return;
    list.splice(list.end(), *list_, position_);
    list_ = &list;
}

void http_connection::wait_for_request()
{
    if (buffer_.size() > 0)
    {
        read_header();
        return;
    }
    idle_ = true;
    if (registry_.ending)
        stream_.expires_after(last_request_timeout);
    else
        stream_.expires_after(idle_timeout);
    stream_.async_read_some(
        buffer_.prepare(first_read_bytes),
        [self = shared_from_this()](error_code code, std::size_t size)
        {
            self->idle_ = false;
            if (code)
            {
                self->on_no_request(code);
                return;
            }
            self->buffer_.commit(size);
            self->read_header();
        });
}

void http_connection::on_no_request(error_code code)
{
    if (list_ == nullptr)
        return;
    if (!registry_.ending || code != boost::asio::error::operation_aborted)
    {
        close();
        return;
    }
    error_code ignored;
    if (stream_.socket().available(ignored) > 0)
        wait_for_request();
    else
        end();
}

void http_connection::end_if_idle()
{
    if (idle_)
        stream_.cancel();
}

/// Input that arrives later is not read; closed at once, the connection would
/// answer it with a reset, which may hide the end from the peer.
void http_connection::end()
{
    error_code ignored;
    stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send,
                              ignored);
    stream_.expires_never();
    move_to(registry_.ended);
}

void http_connection::read_header()
{
    parser_.emplace();
    parser_->header_limit(wire_header_limit(registry_.limits));
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    move_to(registry_.waiting);
    stream_.expires_after(read_timeout);
    http::async_read_header(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](error_code code, std::size_t)
        { self->on_header(code); });
}

void http_connection::on_header(error_code code)
{
    if (list_ == nullptr)
        return;
    if (code && !is_parse_error(code))
    {
        close();
        return;
    }
    request_open_ = true;
    registry_.on_begin();
    if (code)
        on_malformed_header(code);
    else
        accept_header();
}

void http_connection::on_malformed_header(error_code code)
{
    bool const too_large = code == http::error::header_limit ||
                           code == http::error::buffer_overflow;
    if (too_large)
        reject(rejection(status_header_too_large,
                         "path and headers exceed limits.headers of " +
                             std::to_string(registry_.limits.header_bytes) +
                             " bytes",
                         "send fewer or shorter headers"));
    else
        reject(rejection(status_bad_request,
                         "malformed request: " + code.message(),
                         "correct the request"));
}

void http_connection::accept_header()
{
    try
    {
        request_ = to_request(parser_->get());
    }
    catch (std::exception const&)
    {
        reject(rejection(status_bad_request,
                         "the target of the request is malformed",
                         "correct the path or the query"));
        return;
    }
    keep_alive_ = parser_->get().keep_alive();
    if (auto rejected = check_header())
        reject(std::move(*rejected));
    else if (parser_->is_done())
        pass_on();
    else
        start_body();
}

std::optional<http_response> http_connection::check_header() const
{
    auto const& limits = registry_.limits;
    if (header_size(request_) > limits.header_bytes)
        return rejection(status_header_too_large,
                         "path and headers exceed limits.headers of " +
                             std::to_string(limits.header_bytes) + " bytes",
                         "send fewer or shorter headers");
    if (request_.headers.count("transfer-encoding") != 0)
        return rejection(status_length_required,
                         "the request has a body but no Content-Length",
                         "send Content-Length");
    auto const length = parser_->content_length();
    if (length && *length > static_cast<std::uint64_t>(limits.body_bytes))
        return rejection(status_too_large,
                         "request body exceeds limits.body of " +
                             std::to_string(limits.body_bytes) + " bytes",
                         "send a smaller body");
    return std::nullopt;
}

void http_connection::start_body()
{
    stream_.expires_after(read_timeout);
    if (to_lower(header_value(request_.headers, "expect")) == "100-continue")
        send_continue();
    else
        read_body();
}

void http_connection::send_continue()
{
    static constexpr std::string_view line = "HTTP/1.1 100 Continue\r\n\r\n";
    boost::asio::async_write(
        stream_, boost::asio::buffer(line),
        [self = shared_from_this()](error_code code, std::size_t)
        {
            if (code)
                self->close();
            else
                self->read_body();
        });
}

void http_connection::read_body()
{
    http::async_read_some(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](error_code code, std::size_t)
        { self->on_body_part(code); });
}

void http_connection::on_body_part(error_code code)
{
    if (list_ == nullptr)
        return;
    if (code)
    {
        close();
        return;
    }
    auto const size = static_cast<std::int64_t>(parser_->get().body().size());
    registry_.buffered_bytes += size - body_size_;
    body_size_ = size;
    if (parser_->is_done())
    {
        pass_on();
        return;
    }
    registry_.limit_buffered_bytes();
    if (list_ != nullptr)
        read_body();
}

void http_connection::pass_on()
{
    auto const& limits = registry_.limits;
    move_to(registry_.busy);
    if (registry_.running >= limits.requests)
    {
        respond(rejection(status_unavailable,
                          "limits.requests of " +
                              std::to_string(limits.requests) +
                              " requests at once is reached",
                          "try again later or at another entry VM"));
        return;
    }
    request_.body = std::move(parser_->get().body());
    ++registry_.running;
    running_ = true;
    registry_.on_request(shared_from_this(), std::move(request_));
}

void http_connection::respond(http_response response)
{
    if (list_ == nullptr)
        return;
    auto const connection = response.headers.find("Connection");
    if (connection != response.headers.end() &&
        to_lower(connection->second) == "close")
        keep_alive_ = false;
    write(std::move(response));
}

void http_connection::reject(http_response response)
{
    keep_alive_ = false;
    unread_input_ = true;
    move_to(registry_.busy);
    write(std::move(response));
}

void http_connection::write(http_response response)
{
    response_ = to_message(std::move(response));
    response_->version(parser_->get().version());
    response_->keep_alive(keep_alive_);
    if (parser_->get().method() == http::verb::head)
        response_->body().clear();
    stream_.expires_after(write_timeout);
    http::async_write(stream_, *response_,
                      [self = shared_from_this()](error_code code, std::size_t)
                      { self->on_written(code); });
}

void http_connection::on_written(error_code code)
{
    response_.reset();
    end_request();
    if (code || list_ == nullptr || (!keep_alive_ && !unread_input_))
    {
        close();
        return;
    }
    move_to(registry_.waiting);
    if (keep_alive_)
    {
        wait_for_request();
        return;
    }
    // Closed with unread input, the connection would be reset, and the peer
    // might lose the response.
    boost::system::error_code ignored;
    stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send,
                              ignored);
    buffer_.clear();
    stream_.expires_after(discard_timeout);
    discard_input();
}

void http_connection::discard_input()
{
    stream_.async_read_some(
        buffer_.prepare(discard_read_bytes),
        [self = shared_from_this()](error_code code, std::size_t size)
        {
            self->discarded_bytes_ += static_cast<std::int64_t>(size);
            if (code || self->discarded_bytes_ > max_discarded_bytes)
                self->close();
            else
                self->discard_input();
        });
}

void http_connection::end_request()
{
    registry_.buffered_bytes -= std::exchange(body_size_, 0);
    if (std::exchange(running_, false))
        --registry_.running;
    if (std::exchange(request_open_, false))
        registry_.on_end();
}

void http_connection::close()
{
    if (list_ == nullptr)
        return;
    auto const self = shared_from_this();
    std::exchange(list_, nullptr)->erase(position_);
    boost::system::error_code ignored;
    stream_.socket().close(ignored);
    end_request();
}

} // namespace jasminetrack::runtime::detail
