#pragma once
/// \file
/// Options of a listening socket of this process that the HTTP library does
/// not offer.

#include <string>

namespace jasminetrack::runtime::detail
{

/// From now on new connection requests to `address` are dropped. A caller
/// that tries sees no connection, never one that is cut.
/// \param address IP:port on which this process listens
/// \returns whether a listening socket was found and closed to new ones.
bool refuse_new_connections(std::string const& address);

/// Connections accepted at `address` send small parts at once; the library
/// writes head and body apart, and the second would wait for the peer.
bool disable_send_delay(std::string const& address);

} // namespace jasminetrack::runtime::detail
