#include "raw_connection.hpp"

#include <array>
#include <cerrno>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/time.h>

namespace process_tests
{
namespace
{

constexpr int ms_per_second = 1'000;
constexpr int us_per_ms = 1'000;

bool is_timeout()
{
    return errno == EAGAIN || errno == EWOULDBLOCK;
}

} // namespace

raw_connection::raw_connection(std::string const& address, int timeout_ms)
    : socket_(context_)
{
    auto const colon = address.rfind(':');
    boost::system::error_code code;
    socket_.connect(
        {boost::asio::ip::make_address(address.substr(0, colon)),
         static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))},
        code);
    if (code)
        throw std::runtime_error(address + ": " + code.message());
    timeval const limit{timeout_ms / ms_per_second,
                        timeout_ms % ms_per_second * us_per_ms};
    auto const handle = socket_.native_handle();
    ::setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(handle, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
}

bool raw_connection::send(std::string const& data)
{
    std::size_t sent = 0;
    while (sent < data.size())
    {
        auto const n = ::send(socket_.native_handle(), data.data() + sent,
                              data.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

std::string raw_connection::read_until(std::string const& text)
{
    std::string data;
    std::array<char, 4096> piece{};
    while (data.find(text) == std::string::npos)
    {
        auto const n =
            ::recv(socket_.native_handle(), piece.data(), piece.size(), 0);
        timed_out_ = n < 0 && is_timeout();
        if (n <= 0)
            break;
        data.append(piece.data(), static_cast<std::size_t>(n));
    }
    return data;
}

int raw_connection::read_status()
{
    auto const line = read_until("\r\n");
    if (line.empty() && timed_out_)
        return -1;
    int status = 0;
    std::string version;
    std::istringstream(line) >> version >> status;
    return status;
}

bool raw_connection::read_response()
{
    static std::string const length_field = "Content-Length: ";
    static std::string const head_end = "\r\n\r\n";
    auto data = read_until(head_end);
    auto const body = data.find(head_end);
    auto const length = data.find(length_field);
    if (body == std::string::npos || length == std::string::npos)
        return false;
    auto const size = body + head_end.size() +
                      std::stoul(data.substr(length + length_field.size()));
    std::array<char, 4096> piece{};
    while (data.size() < size)
    {
        auto const n =
            ::recv(socket_.native_handle(), piece.data(), piece.size(), 0);
        if (n <= 0)
            return false;
        data.append(piece.data(), static_cast<std::size_t>(n));
    }
    return true;
}

bool raw_connection::read_end()
{
    char byte = 0;
    return ::recv(socket_.native_handle(), &byte, 1, 0) == 0;
}

} // namespace process_tests
