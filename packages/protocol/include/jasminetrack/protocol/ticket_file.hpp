#pragma once
/// \file
/// Change tickets in the YAML form that operators write.

#include <jasminetrack/core/config.hpp>
#include <jasminetrack/protocol/yaml_reader.hpp>

namespace jasminetrack::protocol
{

/// Parses a ticket and validates what does not depend on the state of the
/// system.
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

/// \returns the configuration in JSON.
[[nodiscard]] std::string to_json_text(core::configuration const& config);

} // namespace jasminetrack::protocol
