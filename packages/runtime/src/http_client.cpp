#include <jasminetrack/runtime/http_client.hpp>

#include <jasminetrack/runtime/logging.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <cpprest/http_client.h>
#include <cpprest/producerconsumerstream.h>

#include <algorithm>
#include <array>
#include <future>
#include <mutex>

namespace jasminetrack::runtime
{
namespace
{

namespace client = web::http::client;
using connection = std::shared_ptr<client::http_client>;

connection connect(http_client_request const& call)
{
    client::http_client_config config;
    config.set_timeout(std::chrono::milliseconds(call.timeout_ms));
    config.set_max_redirects(0);
    config.set_nativehandle_options(
        [](client::native_handle handle)
        {
            boost::system::error_code ignored;
            static_cast<boost::asio::ip::tcp::socket*>(handle)->set_option(
                boost::asio::ip::tcp::no_delay(true), ignored);
        });
    return std::make_shared<client::http_client>(
        web::uri("http://" + call.address), config);
}

/// \returns a body that cannot be rewound. If a reused connection is closed
/// before the response, cpprest sends the request again with a body that can
/// be rewound, and reports a failure with one that cannot.
concurrency::streams::istream make_single_use_body(std::string const& body)
{
    concurrency::streams::producer_consumer_buffer<std::uint8_t> buffer(
        body.size() + 1);
    // No task of the library is waited for, as this may be one of its threads.
    auto* const block = buffer.alloc(body.size());
    std::copy(body.begin(), body.end(), block);
    buffer.commit(body.size());
    return buffer.create_istream();
}

web::http::http_request make_request(http_client_request const& call)
{
    web::http::http_request request(call.method);
    request.set_request_uri(web::uri(call.path));
    if (!call.body.empty() || call.method != "GET")
        request.set_body(make_single_use_body(call.body), call.body.size(),
                         call.content_type);
    for (auto const& [name, value] : call.headers)
        request.headers().add(name, value);
    if (call.fresh_connection)
        request.headers().add("Connection", "close");
    return request;
}

/// On a new connection, cpprest reports host_unreachable only when the connect
/// failed. On a reused one the request may already have been sent.
bool was_not_sent(web::http::http_exception const& e, bool fresh)
{
    return fresh && e.error_code() == std::errc::host_unreachable;
}

/// \returns whether the peer has closed the connection, or it was closed
/// before in the pool.
bool was_closed(web::http::http_exception const& e)
{
    constexpr std::array codes{
        std::errc::connection_aborted, std::errc::connection_reset,
        std::errc::broken_pipe, std::errc::bad_file_descriptor};
    return std::any_of(codes.begin(), codes.end(),
                       [&](std::errc c) { return e.error_code() == c; });
}

/// The result of one send.
struct send_outcome
{
    http_client_result answer;
    bool closed = false; ///< the connection was closed before the response
};

send_outcome make_failure(std::exception_ptr const& error, bool fresh)
{
    send_outcome out;
    try
    {
        std::rethrow_exception(error);
    }
    catch (web::http::http_exception const& e)
    {
        out.answer.reason = e.what();
        out.closed = was_closed(e);
        if (was_not_sent(e, fresh))
            out.answer.result = delivery::not_sent;
    }
    catch (std::exception const& e)
    {
        out.answer.reason = e.what();
    }
    return out;
}

send_outcome take_outcome(pplx::task<http_client_result> const& task,
                          bool fresh)
{
    try
    {
        return {task.get(), false};
    }
    catch (...)
    {
        return make_failure(std::current_exception(), fresh);
    }
}

/// Calls `done`. An exception that it throws is logged, as it would otherwise
/// end the process.
void report(std::function<void(http_client_result)> const& done,
            std::string const& address, http_client_result answer)
{
    try
    {
        done(std::move(answer));
    }
    catch (std::exception const& e)
    {
        write_log(log_level::error, "http.callback.failed",
                  {{"peer", address}, {"reason", e.what()}});
    }
}

http_client_result make_success(web::http::http_response const& response,
                                std::vector<unsigned char> const& data)
{
    http_client_result answer;
    answer.result = delivery::answered;
    answer.status = response.status_code();
    answer.body.assign(data.begin(), data.end());
    for (auto const& [name, value] : response.headers())
    {
        std::string key = name;
        std::transform(key.begin(), key.end(), key.begin(),
                       [](unsigned char c)
                       { return static_cast<char>(std::tolower(c)); });
        answer.headers[key] = value;
    }
    return answer;
}

} // namespace

struct http_client::impl : std::enable_shared_from_this<http_client::impl>
{
    using callback = std::function<void(http_client_result)>;

    connection cached_connection(http_client_request const& call)
    {
        std::lock_guard<std::mutex> const lock(mutex);
        auto& cached = connections[pool_key(call)];
        if (!cached)
            cached = connect(call);
        return cached;
    }

    /// Forgets the pool of a connection that was closed: cpprest puts it back
    /// there, and a peer that closes one has often closed them all.
    void drop_connections(http_client_request const& call,
                          connection const& closed)
    {
        std::lock_guard<std::mutex> const lock(mutex);
        auto const cached = connections.find(pool_key(call));
        if (cached != connections.end() && cached->second == closed)
            connections.erase(cached);
    }

    /// \param resent  this is the second send
    void send(http_client_request call, bool resent, callback done)
    {
        connection conn;
        pplx::task<web::http::http_response> response;
        try
        {
            conn =
                call.fresh_connection ? connect(call) : cached_connection(call);
            response = conn->request(make_request(call));
        }
        catch (std::exception const& e)
        {
            http_client_result answer;
            answer.result = delivery::not_sent;
            answer.reason =
                "cannot call \"" + call.address + call.path + "\": " + e.what();
            finish(call, resent, std::move(answer), done);
            return;
        }
        read_response(response).then(
            [self = shared_from_this(), call = std::move(call), resent, conn,
             done = std::move(done)](pplx::task<http_client_result> const& task)
            { self->on_outcome(call, resent, conn, done, task); });
    }

    static pplx::task<http_client_result>
    read_response(pplx::task<web::http::http_response> const& pending)
    {
        return pending.then(
            [](web::http::http_response response)
            {
                return response.extract_vector().then(
                    [response](std::vector<unsigned char> const& data)
                    { return make_success(response, data); });
            });
    }

    void on_outcome(http_client_request const& call, bool resent,
                    connection const& conn, callback const& done,
                    pplx::task<http_client_result> const& task)
    {
        auto out = take_outcome(task, call.fresh_connection);
        if (out.closed && !call.fresh_connection)
            drop_connections(call, conn);
        if (out.closed && call.resend_if_closed && !resent)
            send(call, true, done);
        else
            finish(call, resent, std::move(out.answer), done);
    }

    static void finish(http_client_request const& call, bool resent,
                       http_client_result answer, callback const& done)
    {
        answer.resent = resent;
        // The peer may have received the first send.
        if (resent && answer.result == delivery::not_sent)
            answer.result = delivery::unknown;
        report(done, call.address, std::move(answer));
    }

    static std::string pool_key(http_client_request const& call)
    {
        return call.address + "#" + std::to_string(call.timeout_ms);
    }

    std::mutex mutex;
    std::map<std::string, connection> connections;
};

http_client::http_client() : impl_(std::make_shared<impl>()) {}

http_client::~http_client() = default;

void http_client::send(http_client_request call,
                       std::function<void(http_client_result)> done)
{
    impl_->send(std::move(call), false, std::move(done));
}

http_client_result http_client::send(http_client_request call)
{
    auto result = std::make_shared<std::promise<http_client_result>>();
    auto future = result->get_future();
    send(std::move(call), [result](http_client_result answer)
         { result->set_value(std::move(answer)); });
    return future.get();
}

} // namespace jasminetrack::runtime
