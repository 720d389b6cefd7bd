#pragma once
/// \file
/// The metrics of this process in Prometheus' text format.

#include "call_chain.hpp"

namespace jasminetrack::daemon
{

[[nodiscard]] std::string metrics_text(node_driver& driver,
                                       call_chain const& calls);

} // namespace jasminetrack::daemon
