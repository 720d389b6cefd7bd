#pragma once
/// \file
/// What the dispatcher reports of its decisions.

#include <jasminetrack/tasks/model.hpp>

#include <string>

namespace jasminetrack::tasks
{

/// A scheduling decision, as it is written to the log.
struct decision
{
    std::string step; ///< log step, such as "unit.place"
    std::string job;  ///< job id; empty if no job is concerned
    std::string text; ///< space-separated "key=value" fields
    /// Wall-clock time at which the job was accepted; set only for the
    /// decisions that report its begin or its end.
    milliseconds accepted_ms = 0;
};

} // namespace jasminetrack::tasks
