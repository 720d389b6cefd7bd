#pragma once
/// \file
/// Socket options of a listening socket that the HTTP library does not expose.
/// The socket is found by its address among the process's descriptors.

#include <string>

namespace jasminetrack::runtime::detail
{

/// Drops new connection requests to `address`, while open connections stay. A
/// client's connect times out, so it knows that its request was not sent; a
/// connection that is accepted and then closed would leave that open.
/// \param address IP:port on which this process listens
/// \returns false if no such socket was found or the option was not set.
bool refuse_new_connections(std::string const& address);

/// Sets TCP_NODELAY for connections accepted at `address`. The library writes
/// the head and the body of a response separately, and without the option the
/// body is held back until the peer acknowledges the head.
/// \param address IP:port on which this process listens
/// \returns false if no such socket was found or the option was not set.
bool disable_send_delay(std::string const& address);

} // namespace jasminetrack::runtime::detail
