#include <jasminetrack/runtime/peer_mesh.hpp>

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <atomic>
#include <thread>

namespace jasminetrack::runtime
{
namespace
{

using server = websocketpp::server<websocketpp::config::asio>;
using client = websocketpp::client<websocketpp::config::asio_client>;
using websocketpp::connection_hdl;

constexpr long check_interval_ms = 250; ///< between checks of the connections
constexpr int max_unanswered_pings = 4; ///< before a connection is closed
constexpr long open_timeout_ms = 1000;
constexpr std::size_t max_message_bytes = 4 * 1024 * 1024;
constexpr std::size_t max_handshake_body_bytes = 4 * 1024;
constexpr std::size_t max_buffered_bytes = 1024 * 1024; ///< unsent, per peer

/// The connection that this node opened to one peer.
struct link
{
    std::string address;
    connection_hdl handle;
    bool opening = false;
    bool open = false;
    int checks = 0;           ///< a ping is sent at every fourth one
    int unanswered_pings = 0; ///< since the last pong
};

} // namespace

/// The state is accessed only from the thread that runs `context`, except for
/// `bytes`.
struct peer_mesh::impl
{
    impl(std::string const& listen, std::function<void(message const&)> handler)
        : address(listen), on_message(std::move(handler)), timer(context)
    {
        disable_logging(acceptor);
        disable_logging(connector);
        acceptor.init_asio(&context);
        connector.init_asio(&context);
        acceptor.set_reuse_addr(true);
        acceptor.set_max_message_size(max_message_bytes);
        acceptor.set_max_http_body_size(max_handshake_body_bytes);
        acceptor.set_message_handler(
            [this](connection_hdl, server::message_ptr m)
            {
                auto const& text = m->get_payload();
                on_message({text.begin(), text.end()});
            });
    }

    template <typename Endpoint> static void disable_logging(Endpoint& endpoint)
    {
        endpoint.clear_access_channels(websocketpp::log::alevel::all);
        endpoint.clear_error_channels(websocketpp::log::elevel::all);
    }

    void open(std::string const& name, link& l)
    {
        websocketpp::lib::error_code code;
        auto const c =
            connector.get_connection("ws://" + l.address + "/mesh", code);
        if (code)
            return;
        l.opening = true;
        l.unanswered_pings = 0;
        c->set_open_handshake_timeout(open_timeout_ms);
        c->set_open_handler([this, name](connection_hdl h)
                            { on_open(name, h); });
        c->set_fail_handler([this, name](connection_hdl h)
                            { on_close(name, h); });
        c->set_close_handler([this, name](connection_hdl h)
                             { on_close(name, h); });
        c->set_pong_handler([this, name](connection_hdl, std::string)
                            { on_pong(name); });
        l.handle = c->get_handle();
        connector.connect(c);
    }

    static bool same_handle(connection_hdl const& a, connection_hdl const& b)
    {
        return !a.owner_before(b) && !b.owner_before(a);
    }

    void on_open(std::string const& name, connection_hdl const& h)
    {
        auto const found = links.find(name);
        if (found == links.end() || !same_handle(found->second.handle, h))
            return;
        found->second.open = true;
        found->second.opening = false;
    }

    void on_close(std::string const& name, connection_hdl const& h)
    {
        auto const found = links.find(name);
        if (found == links.end() || !same_handle(found->second.handle, h))
            return;
        found->second.open = false;
        found->second.opening = false;
    }

    void on_pong(std::string const& name)
    {
        auto const found = links.find(name);
        if (found != links.end())
            found->second.unanswered_pings = 0;
    }

    void terminate_link(link& l)
    {
        websocketpp::lib::error_code code;
        if (auto const c = connector.get_con_from_hdl(l.handle, code); !code)
            c->terminate({});
        l.handle.reset();
        l.open = false;
        l.opening = false;
    }

    void check_link(std::string const& name, link& l)
    {
        if (!l.open && !l.opening)
        {
            open(name, l);
            return;
        }
        constexpr int checks_per_ping = 4;
        if (!l.open || ++l.checks % checks_per_ping != 0)
            return;
        if (++l.unanswered_pings > max_unanswered_pings)
        {
            terminate_link(l);
            return;
        }
        websocketpp::lib::error_code code;
        connector.ping(l.handle, "", code);
    }

    void schedule_check()
    {
        timer.expires_after(std::chrono::milliseconds(check_interval_ms));
        timer.async_wait(
            [this](boost::system::error_code code)
            {
                if (code || stopping)
                    return;
                for (auto& [name, l] : links)
                    check_link(name, l);
                schedule_check();
            });
    }

    void replace_peers(std::map<std::string, std::string> const& peers)
    {
        for (auto it = links.begin(); it != links.end();)
        {
            auto const found = peers.find(it->first);
            if (found != peers.end() && found->second == it->second.address)
            {
                ++it;
                continue;
            }
            terminate_link(it->second);
            it = links.erase(it);
        }
        for (auto const& [name, where] : peers)
            if (links.count(name) == 0)
                links[name].address = where;
    }

    void write(std::string const& peer, message const& data)
    {
        auto const found = links.find(peer);
        if (found == links.end() || !found->second.open)
            return;
        websocketpp::lib::error_code code;
        auto const c = connector.get_con_from_hdl(found->second.handle, code);
        if (code || c->get_buffered_amount() > max_buffered_bytes)
            return;
        c->send(data.data(), data.size(), websocketpp::frame::opcode::binary);
        bytes += data.size();
    }

    std::string address;
    std::function<void(message const&)> on_message;
    boost::asio::io_context context;
    boost::asio::steady_timer timer;
    server acceptor;
    client connector;
    std::map<std::string, link> links;
    std::atomic<std::uint64_t> bytes{0};
    bool stopping = false;
    std::thread thread;
};

peer_mesh::peer_mesh(std::string const& address,
                     std::function<void(message const&)> on_message)
    : impl_(std::make_unique<impl>(address, std::move(on_message)))
{
}

peer_mesh::~peer_mesh()
{
    stop();
}

bool peer_mesh::start(std::string& reason)
{
    auto const colon = impl_->address.rfind(':');
    websocketpp::lib::error_code code;
    impl_->acceptor.listen(impl_->address.substr(0, colon),
                           impl_->address.substr(colon + 1), code);
    if (!code)
        impl_->acceptor.start_accept(code);
    if (code)
    {
        reason = code.message();
        return false;
    }
    impl_->schedule_check();
    impl_->thread = std::thread([this] { impl_->context.run(); });
    return true;
}

void peer_mesh::set_peers(std::map<std::string, std::string> const& peers)
{
    boost::asio::post(impl_->context,
                      [this, peers] { impl_->replace_peers(peers); });
}

void peer_mesh::send(std::string const& peer, message data)
{
    boost::asio::post(impl_->context, [this, peer, data = std::move(data)]
                      { impl_->write(peer, data); });
}

void peer_mesh::stop()
{
    impl_->context.stop();
    if (impl_->thread.joinable())
        impl_->thread.join();
}

std::uint64_t peer_mesh::bytes_sent() const noexcept
{
    return impl_->bytes;
}

} // namespace jasminetrack::runtime
