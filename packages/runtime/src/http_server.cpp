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

/// cpprest reports a response as sent once it is handed to the kernel. Before
/// the listener closes, the kernel needs this long to send the rest over a link
/// between regions.
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

web::http::http_response make_message(http_response const& response)
{
    web::http::http_response message(
        static_cast<web::http::status_code>(response.status));
    message.set_body(response.body, response.content_type);
    for (auto const& [name, value] : response.headers)
        message.headers().add(name, value);
    return message;
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

    /// Checks limits that are known before the body is read.
    /// \returns whether the request is rejected; `response` is then set.
    bool reject_early(http_request const& r, http_response& response) const
    {
        if (header_size(r) > limits.header_bytes)
        {
            response =
                rejection(431,
                          "path and headers exceed limits.headers of " +
                              std::to_string(limits.header_bytes) + " bytes",
                          "send fewer or shorter headers");
            return true;
        }
        auto const length = header_value(r.headers, "content-length");
        if (length.empty() && r.headers.count("transfer-encoding") != 0)
        {
            response =
                rejection(411, "the request has a body but no Content-Length",
                          "send Content-Length");
            return true;
        }
        if (!length.empty() &&
            std::strtoll(length.c_str(), nullptr, 10) > limits.body_bytes)
        {
            response =
                rejection(413,
                          "request body exceeds limits.body of " +
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
            // The body stays unread, so the connection cannot be reused.
            rejected.headers["Connection"] = "close";
            send(message, rejected);
            return;
        }
        if (in_flight.fetch_add(1) >= limits.requests)
        {
            send(message, rejection(503,
                                    "limits.requests of " +
                                        std::to_string(limits.requests) +
                                        " requests at once is reached",
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
        http_response response;
        try
        {
            response = handle(request);
        }
        catch (std::exception const& e)
        {
            response = {500,
                        std::string("{\"outcome\":\"unknown\",\"step\":"
                                    "\"request.handle\",\"reason\":\"") +
                            e.what() + "\"}",
                        "application/json",
                        {}};
        }
        if (closing)
            response.headers["Connection"] = "close";
        send(message, response);
        finish_request();
    }

    static void send(web::http::http_request message,
                     http_response const& response)
    {
        try
        {
            message.reply(make_message(response))
                .then(
                    [](pplx::task<void> done)
                    {
                        try
                        {
                            done.get();
                        }
                        catch (std::exception const&)
                        {
                            // The client has closed the connection.
                        }
                    })
                .wait();
        }
        catch (std::exception const&)
        {
            // The client closed the connection before the response.
        }
    }

    /// Waits until no request was in flight for `reply_flush_time`, because an
    /// accepted connection may hold a request that is not read yet.
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
    std::uint64_t finished_requests = 0; ///< guarded by `mutex`
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
