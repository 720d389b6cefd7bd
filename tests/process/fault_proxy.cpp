#include "fault_proxy.hpp"

#include <utility>

#include <boost/asio.hpp>

#include <array>
#include <atomic>
#include <future>
#include <list>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace process_tests
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

tcp::endpoint parse(std::string const& address)
{
    auto const colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)),
            static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))};
}

} // namespace

/// All members but the atomic ones are used only by the proxy's thread.
struct fault_proxy::impl
{
    struct connection : std::enable_shared_from_this<connection>
    {
        connection(impl& p, tcp::socket s)
            : proxy(p), caller(std::move(s)), target(p.context)
        {
        }

        void start()
        {
            auto self = shared_from_this();
            target.async_connect(proxy.target,
                                 [self](boost::system::error_code code)
                                 {
                                     if (code)
                                         return self->close();
                                     self->disable_nagle();
                                     self->relay(0);
                                     self->relay(1);
                                 });
        }

        void disable_nagle()
        {
            boost::system::error_code ignored;
            caller.set_option(tcp::no_delay(true), ignored);
            target.set_option(tcp::no_delay(true), ignored);
        }

        /// \param direction 0: caller to target, 1: target to caller
        void relay(int direction)
        {
            auto self = shared_from_this();
            auto& from = direction == 0 ? caller : target;
            from.async_read_some(
                asio::buffer(buffers[direction]),
                [self, direction](boost::system::error_code code, std::size_t n)
                {
                    if (code)
                        return self->on_read_error(direction);
                    self->proxy.total += n;
                    if (self->traffic_by_direction[direction] ==
                        traffic::discard)
                        return self->relay(direction);
                    self->forward(direction, n);
                });
        }

        void forward(int direction, std::size_t n)
        {
            auto self = shared_from_this();
            auto data =
                std::make_shared<std::string>(buffers[direction].data(), n);
            auto const write = [self, direction, data]
            {
                auto& to = direction == 0 ? self->target : self->caller;
                asio::async_write(
                    to, asio::buffer(*data),
                    [self, direction, data](boost::system::error_code code,
                                            std::size_t)
                    {
                        if (code)
                            return self->close();
                        self->relay(direction);
                    });
            };
            if (proxy.delay_ms == 0)
                return write();
            auto timer = std::make_shared<asio::steady_timer>(proxy.context);
            timer->expires_after(std::chrono::milliseconds(proxy.delay_ms));
            timer->async_wait(
                [timer, write](boost::system::error_code code)
                {
                    if (!code)
                        write();
                });
        }

        /// Closes both sides, unless the direction discards: the other side
        /// must not notice the end.
        void on_read_error(int direction)
        {
            if (traffic_by_direction[direction] == traffic::discard)
                return;
            close();
        }

        void close()
        {
            boost::system::error_code ignored;
            caller.close(ignored);
            target.close(ignored);
        }

        impl& proxy;
        tcp::socket caller;
        tcp::socket target;
        std::array<std::array<char, 65536>, 2> buffers{};
        std::array<traffic, 2> traffic_by_direction{traffic::pass,
                                                    traffic::pass};
    };

    explicit impl(std::string const& where)
        : target(parse(where)),
          acceptor(context,
                   tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        port = acceptor.local_endpoint().port();
        accept();
        thread = std::thread([this] { context.run(); });
    }

    void accept()
    {
        acceptor.async_accept(
            [this](boost::system::error_code code, tcp::socket s)
            {
                if (code)
                    return;
                if (!blocked)
                {
                    auto l = std::make_shared<connection>(*this, std::move(s));
                    l->traffic_by_direction = traffic_of_new;
                    connections.remove_if([](auto const& w)
                                          { return w.expired(); });
                    connections.push_back(l);
                    l->start();
                }
                accept();
            });
    }

    template <typename Work> void run(Work work)
    {
        std::promise<void> done;
        asio::post(context,
                   [&]
                   {
                       work();
                       done.set_value();
                   });
        done.get_future().wait();
    }

    template <typename Work> void for_each_connection(Work work)
    {
        for (auto const& weak : connections)
            if (auto const l = weak.lock())
                work(*l);
    }

    asio::io_context context;
    tcp::endpoint target;
    tcp::acceptor acceptor;
    int port = 0;
    int delay_ms = 0;
    bool blocked = false;
    std::array<traffic, 2> traffic_of_new{traffic::pass, traffic::pass};
    std::list<std::weak_ptr<connection>> connections;
    std::atomic<std::uint64_t> total{0};
    std::thread thread;
};

fault_proxy::fault_proxy(std::string const& target)
    : impl_(std::make_unique<impl>(target))
{
}

fault_proxy::~fault_proxy()
{
    impl_->context.stop();
    impl_->thread.join();
}

std::string fault_proxy::address() const
{
    return "127.0.0.1:" + std::to_string(impl_->port);
}

std::uint64_t fault_proxy::bytes() const noexcept
{
    return impl_->total;
}

void fault_proxy::set_blocked(bool on)
{
    impl_->run(
        [&]
        {
            impl_->blocked = on;
            if (on)
                impl_->for_each_connection([](impl::connection& l)
                                           { l.close(); });
        });
}

void fault_proxy::set_traffic(traffic to_target, traffic to_caller,
                              bool existing_only)
{
    impl_->run(
        [&]
        {
            std::array<traffic, 2> const traffic_by_direction{to_target,
                                                              to_caller};
            impl_->for_each_connection(
                [&](impl::connection& l)
                { l.traffic_by_direction = traffic_by_direction; });
            if (!existing_only)
                impl_->traffic_of_new = traffic_by_direction;
        });
}

void fault_proxy::set_delay(int ms)
{
    impl_->run([&] { impl_->delay_ms = ms; });
}

void fault_proxy::clear_faults()
{
    impl_->run(
        [&]
        {
            impl_->blocked = false;
            impl_->delay_ms = 0;
            impl_->traffic_of_new = {traffic::pass, traffic::pass};
            impl_->for_each_connection(
                [](impl::connection& l) {
                    l.traffic_by_direction = {traffic::pass, traffic::pass};
                });
        });
}

int free_port()
{
    // The ports lie below the kernel's range for outgoing connections and in a
    // range given by the process id, so that a free port stays free until use.
    constexpr int first_port = 10'000;
    constexpr int ports_per_process = 100;
    constexpr int ranges = 220;
    static int next = 0;
    int const base = first_port + ::getpid() % ranges * ports_per_process;
    for (int tried = 0; tried < ports_per_process; ++tried)
    {
        int const port = base + next++ % ports_per_process;
        asio::io_context context;
        tcp::acceptor probe(context);
        boost::system::error_code code;
        probe.open(tcp::v4(), code);
        probe.set_option(tcp::acceptor::reuse_address(true), code);
        probe.bind({asio::ip::make_address("127.0.0.1"),
                    static_cast<unsigned short>(port)},
                   code);
        if (!code)
            return port;
    }
    throw std::runtime_error("no free port");
}

} // namespace process_tests
