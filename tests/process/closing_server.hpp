#pragma once
/// \file
/// HTTP server that closes connections instead of answering, for tests of what
/// a client takes such a request for.

#include <utility> // needed by Boost.Asio

#include <boost/asio.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace process_tests
{

/// A request as the server has received it.
struct received_request
{
    std::string text;           ///< with headers and body
    std::size_t connection = 0; ///< connections are numbered from 1
    /// Position on its connection; 0 for the first request.
    std::size_t position = 0;
};

/// Builds a response of this status with a Content-Length.
[[nodiscard]] std::string make_response(int status, std::string const& body,
                                        std::string const& extra_headers = "");

/// Serves each connection on a thread of its own.
class closing_server
{
public:
    /// \returns the response, or nothing if the connection is to be closed
    /// without one. Called on several threads.
    using responder =
        std::function<std::optional<std::string>(received_request const&)>;

    explicit closing_server(responder respond);
    closing_server(closing_server const&) = delete;
    closing_server& operator=(closing_server const&) = delete;
    ~closing_server();

    [[nodiscard]] std::string address() const;
    [[nodiscard]] std::vector<received_request> requests() const;
    /// \returns how many requests contain the marker.
    [[nodiscard]] int count_requests(std::string const& marker) const;

private:
    using tcp = boost::asio::ip::tcp;

    /// \returns nothing if the connection ends before a complete request.
    std::optional<received_request>
    read_request(tcp::socket& s, std::size_t connection, std::size_t position);
    void accept_connections();
    void serve(tcp::socket& s, std::size_t connection);
    void close_connections();

    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
    responder respond_;
    std::atomic<bool> stopping_{false};
    mutable std::mutex mutex_;
    std::vector<received_request> requests_;
    std::vector<std::shared_ptr<tcp::socket>> connections_;
    std::vector<std::thread> threads_;
    std::thread thread_;
};

} // namespace process_tests
