#include <jasminetrack/runtime/http_server.hpp>

#include "socket_options.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>
#include <cpprest/http_listener.h>
#include <pplx/threadpool.h>
#include <xxhash.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>

namespace jasminetrack::runtime
{
namespace
{

namespace listener = web::http::experimental::listener;

/// The library finishes a reply before the peer has it all; the kernel
/// needs this long on a link between regions to send the rest.
constexpr std::chrono::milliseconds reply_flush_time{200};

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::tolower(c)); });
    return text;
}

http_request to_request(web::http::http_request const& message)
{
    http_request r;
    r.method = message.method();
    r.path = web::uri::decode(message.request_uri().path());
    for (auto const& [name, value] :
         web::uri::split_query(message.request_uri().query()))
        r.query[web::uri::decode(name)] = web::uri::decode(value);
    for (auto const& [name, value] : message.headers())
        r.headers[to_lower(name)] = value;
    return r;
}

web::http::http_response make_response(http_response const& reply)
{
    web::http::http_response response(
        static_cast<web::http::status_code>(reply.status));
    response.set_body(reply.body, reply.content_type);
    for (auto const& [name, value] : reply.headers)
        response.headers().add(name, value);
    return response;
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

} // namespace

struct http_server::impl
{
    impl(std::string listen_address, server_limits l, handler h)
        : address(std::move(listen_address)), limits(l), handle(std::move(h)),
          pool(static_cast<std::size_t>(l.threads)),
          server(web::uri("http://" + address))
    {
        server.support([this](web::http::http_request m) { on_request(m); });
    }

    /// \returns a reply if the request must be refused before its body.
    bool reject_early(http_request const& r, http_response& reply) const
    {
        if (header_size(r) > limits.header_bytes)
        {
            reply =
                rejection(431,
                          "headers exceed limits.headers of " +
                              std::to_string(limits.header_bytes) + " bytes",
                          "send fewer headers");
            return true;
        }
        auto const length = header_value(r.headers, "content-length");
        if (length.empty() && r.headers.count("transfer-encoding") != 0)
        {
            reply =
                rejection(411, "the body has no length", "send Content-Length");
            return true;
        }
        if (!length.empty() &&
            std::strtoll(length.c_str(), nullptr, 10) > limits.body_bytes)
        {
            reply = rejection(413,
                              "body exceeds limits.body of " +
                                  std::to_string(limits.body_bytes) + " bytes",
                              "send a smaller body");
            return true;
        }
        return false;
    }

    void on_request(web::http::http_request message)
    {
        auto request = std::make_shared<http_request>(to_request(message));
        http_response rejected;
        if (reject_early(*request, rejected))
        {
            // The unread body makes the connection useless afterwards.
            rejected.headers["Connection"] = "close";
            send(message, rejected);
            return;
        }
        if (in_flight.fetch_add(1) >= limits.requests)
        {
            send(message,
                 rejection(503,
                           "limits.requests of " +
                               std::to_string(limits.requests) + " is reached",
                           "try again later or at another entry VM"));
            finish_request();
            return;
        }
        message.extract_vector().then(
            [this, message,
             request](pplx::task<std::vector<unsigned char>> body)
            {
                try
                {
                    auto const data = body.get();
                    request->body.assign(data.begin(), data.end());
                }
                catch (std::exception const&)
                {
                    finish_request();
                    return;
                }
                boost::asio::post(pool, [this, message, request]
                                  { handle_request(message, *request); });
            });
    }

    void handle_request(web::http::http_request message,
                        http_request const& request)
    {
        http_response reply;
        try
        {
            reply = handle(request);
        }
        catch (std::exception const& e)
        {
            reply = {500,
                     std::string("{\"outcome\":\"unknown\",\"step\":"
                                 "\"request.handle\",\"reason\":\"") +
                         e.what() + "\"}",
                     "application/json",
                     {}};
        }
        if (closing)
            reply.headers["Connection"] = "close";
        send(message, reply);
        finish_request();
    }

    static void send(web::http::http_request message,
                     http_response const& reply)
    {
        try
        {
            message.reply(make_response(reply))
                .then(
                    [](pplx::task<void> done)
                    {
                        try
                        {
                            done.get();
                        }
                        catch (std::exception const&)
                        {
                            // The caller has gone; there is nobody to tell.
                        }
                    })
                .wait();
        }
        catch (std::exception const&)
        {
            // As above: the connection closed before the reply.
        }
    }

    /// Waits until nothing was in flight for a while: a connection may
    /// have been made whose request is not yet read.
    bool wait_until_idle(std::int64_t drain_ms)
    {
        using clock = std::chrono::steady_clock;
        std::unique_lock<std::mutex> lock(mutex);
        auto const until = clock::now() + std::chrono::milliseconds(drain_ms);
        while (clock::now() < until)
        {
            if (!idle.wait_until(lock, until, [&] { return in_flight == 0; }))
                return false;
            auto const seen = finished_requests;
            if (!idle.wait_for(
                    lock, reply_flush_time,
                    [&] { return in_flight > 0 || finished_requests != seen; }))
                return true;
        }
        return false;
    }

    void finish_request()
    {
        std::lock_guard<std::mutex> const lock(mutex);
        --in_flight;
        ++finished_requests;
        idle.notify_all();
    }

    std::string address;
    server_limits limits;
    handler handle;
    boost::asio::thread_pool pool;
    listener::http_listener server;
    std::atomic<std::int64_t> in_flight{0};
    std::mutex mutex;
    std::condition_variable idle;
    std::uint64_t finished_requests = 0; ///< guarded by the mutex
    std::atomic<bool> closing{false};
    bool open = false;
};

http_server::http_server(std::string address, server_limits limits,
                         handler handle)
    : impl_(
          std::make_unique<impl>(std::move(address), limits, std::move(handle)))
{
}

http_server::~http_server()
{
    stop(0);
}

std::int64_t http_server::in_flight() const noexcept
{
    return impl_->in_flight;
}

bool http_server::start(std::string& reason)
{
    try
    {
        impl_->server.open().wait();
        (void)detail::disable_send_delay(impl_->address);
        impl_->open = true;
        return true;
    }
    catch (std::exception const& e)
    {
        reason = e.what();
        return false;
    }
}

bool http_server::drain(std::int64_t drain_ms)
{
    impl_->closing = true;
    if (drain_ms <= 0)
        return false;
    (void)detail::refuse_new_connections(impl_->address);
    return impl_->wait_until_idle(drain_ms);
}

bool http_server::stop(std::int64_t drain_ms)
{
    if (!impl_->open)
        return true;
    impl_->open = false;
    bool const drained = drain(drain_ms);
    impl_->server.close().wait();
    impl_->pool.join();
    return drained;
}

void limit_http_threads(int count)
{
    crossplat::threadpool::initialize_with_threads(
        static_cast<std::size_t>(count));
}

std::string header_value(header_map const& headers, std::string const& name)
{
    auto const found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::string digest_of(std::string const& body)
{
    auto const hash = XXH64(body.data(), body.size(), 0);
    char text[17];
    std::snprintf(text, sizeof text, "%016llx",
                  static_cast<unsigned long long>(hash));
    return text;
}

} // namespace jasminetrack::runtime
