#pragma once
/// \file
/// The signals that the daemon handles. Only SIGTERM and SIGINT stop it.

#include <functional>

namespace jasminetrack::daemon
{

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and in all that are started
/// from it, and ignores SIGPIPE. Must be called before another thread starts: a
/// thread that does not block SIGHUP would take its default action, which ends
/// the process.
void block_signals();

/// Waits for SIGTERM or SIGINT, also if they come before the call. Later ones
/// stay pending and have no effect.
/// \param on_hangup  called for SIGHUP; several at once count as one
void wait_for_stop(std::function<void()> const& on_hangup);

} // namespace jasminetrack::daemon
