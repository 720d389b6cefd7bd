#pragma once
/// \file
/// Socket options of a listening socket that Asio does not offer.

namespace jasminetrack::runtime::detail
{

/// Drops new connection requests to a listening socket, while open connections
/// stay. A client's connect times out, so it knows that its request was not
/// sent; a connection that is accepted and then closed would leave that open.
/// \returns false if the option was not set.
bool drop_new_connections(int descriptor);

} // namespace jasminetrack::runtime::detail
