#pragma once
/// \file
/// Runs the daemon as an entry process on a platform with general jobs.

#include <jasminetrack/entry/settings.hpp>

#include <csignal>

namespace jasminetrack::daemon
{

/// Serves until it receives one of `signals`, which the caller has blocked.
/// SIGHUP does not end it: the settings file is read again and checked.
/// \returns the process's exit code.
int run_entry(entry::entry_settings const& settings, std::string const& path,
              sigset_t const& signals);

} // namespace jasminetrack::daemon
