#pragma once
/// \file
/// Runs the daemon as an entry process on a platform with general jobs.

#include <jasminetrack/entry/settings.hpp>

#include <string>

namespace jasminetrack::daemon
{

/// Serves until it receives SIGTERM or SIGINT; see block_signals(). On SIGHUP
/// the settings file is read again and checked.
/// \returns the process's exit code.
int run_entry(entry::entry_settings const& settings, std::string const& path);

} // namespace jasminetrack::daemon
