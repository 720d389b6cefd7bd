#pragma once
/// \file
/// Log lines on the begin and the end of an outage of a topic.

#include <jasminetrack/entry/topic_follower.hpp>

namespace jasminetrack::entry
{

/// \returns a listener that logs the first failed read of the topic and the
/// first successful one after it, and then calls `next`.
[[nodiscard]] topic_listener log_outages(std::string topic,
                                         topic_listener next);

} // namespace jasminetrack::entry
