#pragma once
/// \file
/// Change tickets as operators write them.

#include <jasminetrack/core/config.hpp>
#include <jasminetrack/protocol/yaml_reader.hpp>

namespace jasminetrack::protocol
{

/// Parses a ticket; checks all that can be checked without the system.
/// \param text the YAML text
/// \param file its name, for the diagnostics
///
/// \code
/// auto const t = parse_ticket(text, "ticket-7.yaml");
/// for (auto const& m : t.diagnostics)
///     std::cerr << to_line(m) << '\n';
/// \endcode
[[nodiscard]] parse_result<core::ticket> parse_ticket(std::string const& text,
                                                      std::string const& file);

/// A ticket in JSON, for reports.
[[nodiscard]] std::string to_json_text(core::configuration const& config);

} // namespace jasminetrack::protocol
