#include "closing_server.hpp"

#include <algorithm>

namespace process_tests
{
namespace
{

constexpr std::size_t chunk_bytes = 4096;
constexpr char const* end_of_headers = "\r\n\r\n";
constexpr char const* length_header = "\r\nContent-Length:";

/// \returns the size of the whole request; nothing if the headers are
/// incomplete.
std::optional<std::size_t> request_size(std::string const& text)
{
    auto const headers = text.find(end_of_headers);
    if (headers == std::string::npos)
        return std::nullopt;
    auto const body = headers + std::string(end_of_headers).size();
    auto const length = text.find(length_header);
    if (length >= headers)
        return body;
    auto const digits = length + std::string(length_header).size();
    return body + std::stoul(text.substr(digits));
}

} // namespace

std::string make_response(int status, std::string const& body,
                          std::string const& extra_headers)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" +
           extra_headers + "Content-Length: " + std::to_string(body.size()) +
           end_of_headers + body;
}

closing_server::closing_server(responder respond)
    : acceptor_(context_,
                tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)),
      respond_(std::move(respond)), thread_([this] { accept_connections(); })
{
}

closing_server::~closing_server()
{
    stopping_ = true;
    tcp::socket wake(context_);
    boost::system::error_code ignored;
    wake.connect(acceptor_.local_endpoint(), ignored);
    thread_.join();
}

std::string closing_server::address() const
{
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

std::vector<received_request> closing_server::requests() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return requests_;
}

int closing_server::count_requests(std::string const& marker) const
{
    auto const all = requests();
    return static_cast<int>(
        std::count_if(all.begin(), all.end(),
                      [&](received_request const& r)
                      { return r.text.find(marker) != std::string::npos; }));
}

std::optional<received_request>
closing_server::read_request(tcp::socket& s, std::size_t connection,
                             std::size_t position)
{
    received_request r{"", connection, position};
    char chunk[chunk_bytes];
    boost::system::error_code code;
    for (auto size = request_size(r.text); !size || r.text.size() < *size;
         size = request_size(r.text))
    {
        auto const n = s.read_some(boost::asio::buffer(chunk), code);
        if (code)
            return std::nullopt;
        r.text.append(chunk, n);
    }
    std::lock_guard<std::mutex> const lock(mutex_);
    requests_.push_back(r);
    return r;
}

void closing_server::accept_connections()
{
    while (!stopping_)
    {
        auto const s = std::make_shared<tcp::socket>(context_);
        boost::system::error_code code;
        acceptor_.accept(*s, code);
        if (code || stopping_)
            break;
        std::lock_guard<std::mutex> const lock(mutex_);
        connections_.push_back(s);
        threads_.emplace_back([this, s, number = connections_.size()]
                              { serve(*s, number); });
    }
    close_connections();
}

void closing_server::serve(tcp::socket& s, std::size_t connection)
{
    for (std::size_t position = 0;; ++position)
    {
        auto const request = read_request(s, connection, position);
        auto const response = request ? respond_(*request) : std::nullopt;
        if (!response)
            break;
        boost::system::error_code code;
        boost::asio::write(s, boost::asio::buffer(*response), code);
    }
    std::lock_guard<std::mutex> const lock(mutex_);
    boost::system::error_code ignored;
    s.close(ignored);
}

void closing_server::close_connections()
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        boost::system::error_code ignored;
        for (auto const& s : connections_)
            if (s->is_open())
                s->shutdown(tcp::socket::shutdown_both, ignored);
    }
    for (auto& t : threads_)
        t.join();
}

} // namespace process_tests
