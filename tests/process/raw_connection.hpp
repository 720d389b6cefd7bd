#pragma once
/// \file
/// TCP connections whose bytes a test writes itself, such as incomplete
/// requests, which an HTTP client does not send.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace process_tests
{

/// A blocking client connection with a time limit on each operation.
class raw_connection
{
public:
    /// \param address IP:port
    /// \throws std::runtime_error if the connect fails
    raw_connection(std::string const& address, int timeout_ms);

    /// \returns false if the peer closed the connection or took nothing for
    /// the time limit.
    bool send(std::string const& data);
    /// Reads until a text is received, the peer closes the connection or the
    /// time limit is over.
    /// \returns what was read.
    std::string read_until(std::string const& text);
    /// Reads the first line of a response.
    /// \returns the status; 0 if the peer closed the connection without one,
    /// -1 after the time limit.
    int read_status();
    /// Reads a response with a Content-Length.
    /// \returns false if the connection ended or the time was over before.
    bool read_response();
    /// \returns true if the peer has ended the connection without a reset, and
    /// has sent nothing that was not read before.
    bool read_end();

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_;
    bool timed_out_ = false; ///< the last read
};

} // namespace process_tests
