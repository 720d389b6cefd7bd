#pragma once
/// \file
/// The figures of this process in Prometheus' text format.

#include "call_chain.hpp"

namespace jasminetrack::daemon
{

[[nodiscard]] std::string metrics_text(node_driver& c, call_chain const& calls);

} // namespace jasminetrack::daemon
