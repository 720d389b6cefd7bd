#pragma once
/// \file
/// When a refused caller should send its request again, for the load after an
/// outage of the log: callers have few tries and all of them wait for its end.

#include <jasminetrack/tasks/model.hpp>

#include <string>

namespace jasminetrack::entry
{

using tasks::milliseconds;

/// \returns the seconds after which a refused caller should try again. They
/// grow with the time for which the log has failed: a caller with four tries
/// then outlasts an outage of ten seconds, and waits little longer than the
/// outage has lasted. They differ by request, so that callers that were refused
/// together come back spread out.
/// \param outage_ms   time for which the log has failed; 0 if it works
/// \param request_id  any text that differs between requests
[[nodiscard]] int retry_after_s(milliseconds outage_ms,
                                std::string const& request_id);

/// \returns the seconds, 1 to 10, after which a caller should submit a job
/// again that was refused because of the load; spread as above. \param wait_ms
/// estimated time until there will be capacity for the job
[[nodiscard]] int overload_retry_after_s(milliseconds wait_ms,
                                         std::string const& request_id);

} // namespace jasminetrack::entry
