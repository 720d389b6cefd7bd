#pragma once
/// \file
/// Check of the settings file of a running process.

#include <jasminetrack/protocol/yaml_reader.hpp>
#include <jasminetrack/runtime/logging.hpp>

#include <fstream>
#include <sstream>
#include <string>

namespace jasminetrack::daemon
{

/// Logs whether the settings file is valid and differs from the settings in
/// force.
/// \param parse  returns the settings of a text, given the name of its file
template <typename Settings, typename Parser>
void log_settings_check(Settings const& in_force, std::string const& path,
                        Parser const& parse)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    auto const parsed = parse(text.str(), path);
    bool const same = parsed && parsed.value == in_force;
    runtime::write_log(
        runtime::log_level::info, "reload",
        {{"valid", parsed ? "yes" : "no"},
         {"changed", same ? "no" : "yes"},
         {"remedy",
          same ? "" : "restart the process to apply the changed settings"}});
}

} // namespace jasminetrack::daemon
