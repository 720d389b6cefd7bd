#pragma once
/// \file
/// Runs the daemon on a platform with general jobs.

#include <jasminetrack/entry/settings.hpp>

#include <csignal>

namespace jasminetrack::daemon
{

/// Serves until one of the blocked `signals` ends it; SIGHUP reads the
/// settings again.
/// \returns the process's exit code.
int run_entry(entry::entry_settings const& settings, std::string const& path,
              sigset_t const& signals);

} // namespace jasminetrack::daemon
