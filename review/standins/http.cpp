#include "http.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cctype>
#include <condition_variable>
#include <list>
#include <mutex>
#include <set>
#include <sys/socket.h>
#include <thread>

namespace jasminetrack::review
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

tcp::endpoint to_endpoint(std::string const& address)
{
    auto const colon = address.find(':');
    auto const port =
        static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)));
    return {asio::ip::make_address(address.substr(0, colon)), port};
}

std::string decode(std::string const& text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
        if (text[i] == '%' && i + 2 < text.size())
        {
            out += static_cast<char>(
                std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        else
        {
            out += text[i];
        }
    return out;
}

void read_target(std::string const& target, http_request& into)
{
    auto const mark = target.find('?');
    into.path = target.substr(0, mark);
    auto at = mark;
    while (at != std::string::npos)
    {
        auto const next = target.find('&', at + 1);
        auto const pair = target.substr(
            at + 1, next == std::string::npos ? next : next - at - 1);
        auto const equals = pair.find('=');
        if (equals != std::string::npos)
            into.query[decode(pair.substr(0, equals))] =
                decode(pair.substr(equals + 1));
        at = next;
    }
}

http_request to_request(http::request<http::string_body> const& message)
{
    http_request r;
    r.method = std::string(message.method_string());
    read_target(std::string(message.target()), r);
    for (auto const& field : message)
    {
        std::string name(field.name_string());
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c)
                       { return static_cast<char>(std::tolower(c)); });
        r.headers[name] = std::string(field.value());
    }
    r.body = message.body();
    return r;
}

} // namespace

milliseconds now_ms()
{
    using namespace std::chrono;
    return duration_cast<std::chrono::milliseconds>(
               steady_clock::now().time_since_epoch())
        .count();
}

void sleep_ms(milliseconds time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time));
}

struct http_server::impl
{
    impl(std::string const& address, handler h)
        : acceptor(io, to_endpoint(address), true), handle(std::move(h))
    {
    }

    void accept()
    {
        for (;;)
        {
            auto const socket = std::make_shared<tcp::socket>(io);
            boost::system::error_code error;
            acceptor.accept(*socket, error);
            std::lock_guard<std::mutex> const lock(mutex);
            if (stopping)
                return;
            if (error)
                continue;
            socket->set_option(tcp::no_delay(true), error);
            sockets.insert(socket);
            threads.emplace_back([this, socket] { serve(socket); });
        }
    }

    void serve(std::shared_ptr<tcp::socket> const& socket)
    {
        boost::system::error_code error;
        beast::flat_buffer buffer;
        bool open = true;
        while (open)
        {
            http::request_parser<http::string_body> parser;
            parser.body_limit(16 * 1024 * 1024);
            http::read(*socket, buffer, parser, error);
            if (error)
                break;
            open = answer(*socket, parser.get());
        }
        std::lock_guard<std::mutex> const lock(mutex);
        socket->close(error);
        sockets.erase(socket);
    }

    /// \returns whether the connection stays in use.
    bool answer(tcp::socket& socket,
                http::request<http::string_body> const& message)
    {
        auto const response = handle(to_request(message));
        boost::system::error_code error;
        if (response.delivery == delivery::reset)
        {
            socket.set_option(asio::socket_base::linger(true, 0), error);
            return false;
        }
        if (response.delivery == delivery::mute)
        {
            std::unique_lock<std::mutex> lock(mutex);
            stopped.wait(lock, [this] { return stopping; });
            return false;
        }
        http::response<http::string_body> out(
            static_cast<http::status>(response.status), message.version());
        out.set(http::field::content_type, response.content_type);
        out.keep_alive(message.keep_alive());
        out.body() = response.body;
        out.prepare_payload();
        http::write(socket, out, error);
        return !error && out.keep_alive();
    }

    asio::io_context io;
    tcp::acceptor acceptor;
    handler handle;
    std::mutex mutex;
    std::condition_variable stopped;
    bool stopping = false;
    std::set<std::shared_ptr<tcp::socket>> sockets;
    std::list<std::thread> threads;
    std::thread acceptor_thread;
};

http_server::http_server(std::string const& address, handler handle)
    : impl_(std::make_shared<impl>(address, std::move(handle)))
{
    impl_->acceptor_thread = std::thread([i = impl_] { i->accept(); });
}

http_server::~http_server()
{
    stop();
}

void http_server::stop()
{
    {
        std::lock_guard<std::mutex> const lock(impl_->mutex);
        if (impl_->stopping)
            return;
        impl_->stopping = true;
        ::shutdown(impl_->acceptor.native_handle(), SHUT_RDWR);
        for (auto const& socket : impl_->sockets)
            ::shutdown(socket->native_handle(), SHUT_RDWR);
    }
    impl_->stopped.notify_all();
    impl_->acceptor_thread.join();
    for (auto& thread : impl_->threads)
        thread.join();
}

std::optional<http_response> send(http_call const& call)
{
    asio::io_context io;
    beast::tcp_stream stream(io);
    http::request<http::string_body> message;
    message.method_string(call.method);
    message.target(call.path);
    message.version(11);
    for (auto const& [name, value] : call.headers)
        message.set(name, value);
    message.body() = call.body;
    message.prepare_payload();
    beast::flat_buffer buffer;
    http::response<http::string_body> answer;
    bool complete = false;
    stream.expires_after(std::chrono::milliseconds(call.timeout_ms));
    auto const on_read = [&](boost::system::error_code error, std::size_t)
    { complete = !error; };
    auto const on_write = [&](boost::system::error_code error, std::size_t)
    {
        if (!error)
            http::async_read(stream, buffer, answer, on_read);
    };
    stream.async_connect(to_endpoint(call.address),
                         [&](boost::system::error_code error)
                         {
                             if (!error)
                                 http::async_write(stream, message, on_write);
                         });
    io.run();
    if (!complete)
        return std::nullopt;
    return http_response{
        static_cast<int>(answer.result_int()), answer.body(), {}, {}};
}

std::uint16_t free_port()
{
    asio::io_context io;
    tcp::acceptor const acceptor(io, {asio::ip::make_address("127.0.0.1"), 0},
                                 true);
    return acceptor.local_endpoint().port();
}

} // namespace jasminetrack::review
