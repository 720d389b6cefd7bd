#include <jasminetrack/runtime/http_server.hpp>

#include "http_connection.hpp"
#include "socket_options.hpp"

#include <jasminetrack/runtime/logging.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <pplx/threadpool.h>
#include <xxhash.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <future>
#include <mutex>
#include <thread>

namespace jasminetrack::runtime
{
namespace
{

using boost::asio::ip::tcp;
using connection = std::shared_ptr<detail::http_connection>;

/// A response counts as written once it is handed to the kernel. Before the
/// connections are closed, the kernel needs this long to send the rest over a
/// link between regions.
constexpr std::chrono::milliseconds reply_flush_time{200};
/// Until the next attempt after a connection could not be accepted.
constexpr std::chrono::milliseconds accept_retry_interval{50};
/// Between two looks at the connections that are being ended.
constexpr std::chrono::milliseconds ending_check_interval{5};

using steady_clock = std::chrono::steady_clock;

tcp::endpoint endpoint_of(std::string const& address)
{
    auto const colon = address.rfind(':');
    return {boost::asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

} // namespace

/// Connections are served on one I/O thread, which never waits for a peer or
/// for the handler; the handler runs on the threads of `pool`.
struct http_server::impl
{
    impl(std::string listen_address, server_limits const& limits, handler h)
        : address(std::move(listen_address)), handle(std::move(h)),
          pool(static_cast<std::size_t>(limits.threads))
    {
        registry.limits = limits;
        registry.limits.buffered_bytes =
            std::max(limits.buffered_bytes, 2 * limits.body_bytes);
        registry.on_request = [this](connection const& c, http_request r)
        { run_handler(c, std::move(r)); };
        registry.on_begin = [this] { begin_request(); };
        registry.on_end = [this] { end_request(); };
    }

    void listen()
    {
        auto const endpoint = endpoint_of(address);
        acceptor.open(endpoint.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen();
        acceptor.non_blocking(true);
        accept();
        thread = std::thread([this] { run_io(); });
    }

    void run_io()
    {
        while (!context.stopped())
            try
            {
                context.run();
            }
            catch (std::exception const& e)
            {
                write_log(log_level::warning, "http.serve",
                          {{"listen", address}, {"reason", e.what()}});
            }
    }

    void accept()
    {
        acceptor.async_accept(
            [this](boost::system::error_code code, tcp::socket socket)
            {
                if (!code)
                    add_connection(std::move(socket));
                if (!acceptor.is_open())
                    return;
                if (code)
                    retry_accept();
                else
                    accept();
            });
    }

    /// The process may have no descriptor left.
    void retry_accept()
    {
        (void)registry.close_longest_waiting();
        accept_timer.expires_after(accept_retry_interval);
        accept_timer.async_wait(
            [this](boost::system::error_code code)
            {
                if (!code && acceptor.is_open())
                    accept();
            });
    }

    void add_connection(tcp::socket socket)
    {
        if (registry.size() >= registry.limits.connections &&
            !registry.close_longest_waiting())
            return;
        std::make_shared<detail::http_connection>(std::move(socket), registry)
            ->start();
    }

    void run_handler(connection const& c, http_request r)
    {
        boost::asio::post(
            pool,
            [this, c, request = std::move(r)]
            {
                boost::asio::post(
                    context, [c, response = call_handler(request)]() mutable
                    { c->respond(std::move(response)); });
            });
    }

    http_response call_handler(http_request const& request)
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
        return response;
    }

    /// \returns the result of `step`, which runs on the I/O thread; false if
    /// it has not run in time.
    bool run_on_io_thread(steady_clock::time_point until,
                          std::function<bool()> step)
    {
        auto const task =
            std::make_shared<std::packaged_task<bool()>>(std::move(step));
        auto done = task->get_future();
        boost::asio::post(context, [task] { (*task)(); });
        return done.wait_until(until) == std::future_status::ready &&
               done.get();
    }

    /// Waits until all requests are answered and no more can be read.
    bool end_connections(steady_clock::time_point until)
    {
        auto const end_idle = [this] { return end_idle_connections(); };
        do
        {
            if (!wait_until_idle(until))
                return false;
        } while (!run_on_io_thread(until, end_idle));
        auto const all_ended = [this] { return registry.all_ended(); };
        while (!run_on_io_thread(until, all_ended))
        {
            if (steady_clock::now() >= until)
                return false;
            std::this_thread::sleep_for(ending_check_interval);
        }
        std::this_thread::sleep_for(reply_flush_time);
        return true;
    }

    /// Runs on the I/O thread.
    /// \returns false if there were new connections, whose callers have had no
    /// time to send a request.
    bool end_idle_connections()
    {
        if (accept_queued() > 0)
            return false;
        boost::system::error_code ignored;
        acceptor.close(ignored);
        accept_timer.cancel();
        registry.end_idle();
        return true;
    }

    /// Accepts the connections that wait in the queue of the kernel.
    /// \returns their number.
    int accept_queued()
    {
        int accepted = 0;
        while (true)
        {
            boost::system::error_code code;
            auto socket = acceptor.accept(code);
            if (code)
                return accepted;
            ++accepted;
            add_connection(std::move(socket));
        }
    }

    /// Waits until no request was open for `reply_flush_time`, because an
    /// accepted connection may hold a request that is not read yet.
    bool wait_until_idle(steady_clock::time_point until)
    {
        std::unique_lock<std::mutex> lock(mutex);
        while (steady_clock::now() < until)
        {
            if (!idle.wait_until(lock, until,
                                 [&] { return open_requests == 0; }))
                return false;
            auto const seen = ended_requests;
            if (!idle.wait_for(lock, reply_flush_time,
                               [&] {
                                   return open_requests > 0 ||
                                          ended_requests != seen;
                               }))
                return true;
        }
        return false;
    }

    void begin_request()
    {
        std::lock_guard<std::mutex> const lock(mutex);
        ++open_requests;
        idle.notify_all();
    }

    void end_request()
    {
        std::lock_guard<std::mutex> const lock(mutex);
        --open_requests;
        ++ended_requests;
        idle.notify_all();
    }

    void close()
    {
        boost::asio::post(context,
                          [this]
                          {
                              boost::system::error_code ignored;
                              acceptor.close(ignored);
                              accept_timer.cancel();
                              registry.close_all();
                          });
        pool.join();
        context.stop();
        thread.join();
        // The context may have been stopped first, and connections must not
        // outlive it.
        registry.close_all();
    }

    std::string address;
    handler handle;
    detail::connection_registry registry;
    std::mutex mutex;
    std::condition_variable idle;
    std::int64_t open_requests = 0;   ///< guarded by `mutex`
    std::uint64_t ended_requests = 0; ///< guarded by `mutex`
    std::atomic<bool> closing{false};
    bool open = false;
    boost::asio::io_context context{1};
    /// Keeps the I/O thread when no connection is left to wait for.
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work{context.get_executor()};
    tcp::acceptor acceptor{context};
    boost::asio::steady_timer accept_timer{context};
    boost::asio::thread_pool pool;
    std::thread thread;
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
    return impl_->registry.running;
}

bool http_server::start(std::string& reason)
{
    try
    {
        impl_->listen();
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
    (void)detail::drop_new_connections(impl_->acceptor.native_handle());
    return impl_->end_connections(steady_clock::now() +
                                  std::chrono::milliseconds(drain_ms));
}

bool http_server::stop(std::int64_t drain_ms)
{
    if (!impl_->open)
        return true;
    impl_->open = false;
    bool const drained = drain(drain_ms);
    impl_->close();
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
