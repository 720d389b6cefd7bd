#include "net.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <csignal>
#include <iterator>
#include <limits>
#include <random>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace jasminetrack::review3
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr milliseconds accept_poll_ms = 2;

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string decode_percent(std::string const& text)
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
            out += text[i];
    return out;
}

request to_request(http::request<http::string_body> const& message)
{
    request r;
    r.method = std::string(message.method_string());
    std::string const target(message.target());
    auto const mark = target.find('?');
    r.path = target.substr(0, mark);
    auto rest =
        mark == std::string::npos ? std::string() : target.substr(mark + 1);
    while (!rest.empty())
    {
        auto const end = rest.find('&');
        auto const pair = rest.substr(0, end);
        auto const equals = pair.find('=');
        if (equals != std::string::npos)
            r.query[pair.substr(0, equals)] =
                decode_percent(pair.substr(equals + 1));
        rest = end == std::string::npos ? std::string() : rest.substr(end + 1);
    }
    for (auto const& field : message)
        r.headers[to_lower(std::string(field.name_string()))] =
            std::string(field.value());
    r.body = message.body();
    return r;
}

tcp::endpoint endpoint_of(std::string const& address)
{
    return {asio::ip::make_address("127.0.0.1"), port_of(address)};
}

/// Ends reads and writes of a socket that other threads may be using.
void shut(int descriptor)
{
    ::shutdown(descriptor, SHUT_RDWR);
}

} // namespace

milliseconds now_ms()
{
    using namespace std::chrono;
    return duration_cast<std::chrono::milliseconds>(
               steady_clock::now().time_since_epoch())
        .count();
}

milliseconds wall_ms()
{
    using namespace std::chrono;
    return duration_cast<std::chrono::milliseconds>(
               system_clock::now().time_since_epoch())
        .count();
}

void sleep_ms(milliseconds time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time));
}

std::uint16_t free_port()
{
    constexpr int first = 20'000;
    constexpr int last = 31'000;
    static std::mutex mutex;
    static std::mt19937 engine{std::random_device{}()};
    std::lock_guard<std::mutex> const lock(mutex);
    for (;;)
    {
        auto const port = static_cast<std::uint16_t>(
            std::uniform_int_distribution<int>(first, last)(engine));
        asio::io_context io;
        tcp::acceptor probe(io);
        boost::system::error_code code;
        probe.open(tcp::v4());
        probe.bind({asio::ip::make_address("127.0.0.1"), port}, code);
        if (!code)
            return port;
    }
}

std::uint16_t port_of(std::string const& address)
{
    return static_cast<std::uint16_t>(
        std::stoi(address.substr(address.find(':') + 1)));
}

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

struct server::impl
{
    impl(handler h, std::uint16_t port)
        : handle(std::move(h)),
          acceptor(io, {asio::ip::make_address("127.0.0.1"), port}),
          thread([this] { accept(); })
    {
    }

    void accept()
    {
        acceptor.non_blocking(true);
        while (!stopping)
        {
            auto socket = std::make_shared<tcp::socket>(io);
            boost::system::error_code code;
            acceptor.accept(*socket, code);
            if (code)
            {
                sleep_ms(accept_poll_ms);
                continue;
            }
            socket->non_blocking(false);
            std::lock_guard<std::mutex> const lock(mutex);
            join_ended();
            descriptors.push_back(socket->native_handle());
            threads.emplace_back();
            auto const self = std::prev(threads.end());
            *self = std::thread(
                [this, socket, self]
                {
                    serve(*socket);
                    std::lock_guard<std::mutex> const ending(mutex);
                    ended.push_back(self);
                });
        }
    }

    /// Joins the threads of connections that have ended; needs the lock.
    void join_ended()
    {
        for (auto const at : ended)
        {
            at->join();
            threads.erase(at);
        }
        ended.clear();
    }

    void serve(tcp::socket& socket)
    {
        beast::flat_buffer buffer;
        boost::system::error_code code;
        socket.set_option(tcp::no_delay(true), code);
        while (!stopping)
        {
            http::request_parser<http::string_body> parser;
            parser.body_limit(std::numeric_limits<std::uint64_t>::max());
            http::read(socket, buffer, parser, code);
            if (code)
                break;
            auto const r = handle(to_request(parser.get()));
            if (r.how == reply::reset)
                break;
            if (r.how == reply::mute)
            {
                wait_for_end(socket);
                break;
            }
            http::response<http::string_body> out;
            out.result(static_cast<unsigned>(r.status));
            out.set(http::field::content_type, r.content_type);
            out.keep_alive(parser.get().keep_alive());
            out.body() = r.body;
            out.prepare_payload();
            http::write(socket, out, code);
            if (code || !parser.get().keep_alive())
                break;
        }
        std::lock_guard<std::mutex> const lock(mutex);
        std::erase(descriptors, socket.native_handle());
        socket.close(code);
    }

    /// Reads until the peer ends the connection, or the server stops.
    static void wait_for_end(tcp::socket& socket)
    {
        std::array<char, 256> unused;
        boost::system::error_code code;
        while (!code)
            (void)socket.read_some(asio::buffer(unused), code);
    }

    void stop()
    {
        if (stopping.exchange(true))
            return;
        thread.join();
        {
            std::lock_guard<std::mutex> const lock(mutex);
            for (int const d : descriptors)
                shut(d);
        }
        for (auto& t : threads)
            t.join();
        boost::system::error_code ignored;
        acceptor.close(ignored);
    }

    handler handle;
    asio::io_context io;
    tcp::acceptor acceptor;
    std::atomic<bool> stopping{false};
    std::mutex mutex;
    std::vector<int> descriptors;
    std::list<std::thread> threads;
    std::vector<std::list<std::thread>::iterator> ended;
    std::thread thread;
};

server::server(handler handle, std::uint16_t port)
    : impl_(std::make_unique<impl>(std::move(handle), port))
{
}

server::~server()
{
    stop();
}

std::string server::address() const
{
    return loopback(impl_->acceptor.local_endpoint().port());
}

void server::stop()
{
    impl_->stop();
}

call_answer send(call const& c)
{
    asio::io_context io;
    beast::tcp_stream stream(io);
    http::request<http::string_body> message;
    message.method_string(c.method);
    message.target(c.path);
    message.version(11);
    for (auto const& [name, value] : c.headers)
        message.set(name, value);
    message.set(http::field::connection, "close");
    message.body() = c.body;
    message.prepare_payload();
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    call_answer out;
    stream.expires_after(std::chrono::milliseconds(c.timeout_ms));
    stream.async_connect(
        endpoint_of(c.address),
        [&](beast::error_code code)
        {
            if (code)
                return;
            http::async_write(
                stream, message,
                [&](beast::error_code failed, std::size_t)
                {
                    if (failed)
                        return;
                    http::async_read(stream, buffer, parser,
                                     [&](beast::error_code unread, std::size_t)
                                     {
                                         if (unread)
                                             return;
                                         out.status = parser.get().result_int();
                                         out.body = parser.get().body();
                                     });
                });
        });
    io.run();
    return out;
}

struct link::impl
{
    struct pair
    {
        pair(asio::io_context& io) : in(io), out(io) {}
        tcp::socket in;
        tcp::socket out;
        std::atomic<bool> silent{false};
        std::atomic<bool> over{false};
    };

    explicit impl(std::string to)
        : target(std::move(to)),
          acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}),
          thread([this] { accept(); })
    {
    }

    void accept()
    {
        acceptor.non_blocking(true);
        while (!stopping)
        {
            auto const p = std::make_shared<pair>(io);
            boost::system::error_code code;
            acceptor.accept(p->in, code);
            if (code)
            {
                sleep_ms(accept_poll_ms);
                continue;
            }
            p->in.non_blocking(false);
            p->out.connect(endpoint_of(target), code);
            if (code)
                continue;
            p->in.set_option(tcp::no_delay(true), code);
            p->out.set_option(tcp::no_delay(true), code);
            std::lock_guard<std::mutex> const lock(mutex);
            pairs.push_back(p);
            threads.emplace_back([this, p] { forward(*p, p->in, p->out); });
            threads.emplace_back([this, p] { forward(*p, p->out, p->in); });
        }
    }

    /// Bytes of a silent connection are dropped.
    void forward(pair& p, tcp::socket& from, tcp::socket& to)
    {
        std::array<char, 16 * 1024> bytes;
        boost::system::error_code code;
        for (;;)
        {
            auto const size = from.read_some(asio::buffer(bytes), code);
            if (p.silent)
            {
                if (code && stopping)
                    break;
                if (code)
                    return; // the other end is not told
                continue;
            }
            if (code)
                break;
            asio::write(to, asio::buffer(bytes.data(), size), code);
            if (code)
                break;
        }
        shut(p.in.native_handle());
        shut(p.out.native_handle());
        p.over = true;
    }

    void silence()
    {
        std::lock_guard<std::mutex> const lock(mutex);
        for (auto const& p : pairs)
            if (!p->over && !p->silent.exchange(true))
                ++silenced;
    }

    void stop()
    {
        if (stopping.exchange(true))
            return;
        thread.join();
        {
            std::lock_guard<std::mutex> const lock(mutex);
            for (auto const& p : pairs)
            {
                shut(p->in.native_handle());
                shut(p->out.native_handle());
            }
        }
        for (auto& t : threads)
            t.join();
    }

    std::string target;
    asio::io_context io;
    tcp::acceptor acceptor;
    std::atomic<bool> stopping{false};
    std::atomic<int> silenced{0};
    std::mutex mutex;
    std::vector<std::shared_ptr<pair>> pairs;
    std::list<std::thread> threads;
    std::thread thread;
};

link::link(std::string target)
    : impl_(std::make_unique<impl>(std::move(target)))
{
}

link::~link()
{
    stop();
}

std::string link::address() const
{
    return loopback(impl_->acceptor.local_endpoint().port());
}

void link::silence_open()
{
    impl_->silence();
}

int link::silenced() const
{
    return impl_->silenced;
}

void link::stop()
{
    impl_->stop();
}

} // namespace jasminetrack::review3
