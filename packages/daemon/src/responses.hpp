#pragma once
/// \file
/// HTTP responses to callers: JSON documents, refused calls and unknown
/// outcomes.

#include <jasminetrack/core/outcome.hpp>
#include <jasminetrack/runtime/http.hpp>

#include <nlohmann/json_fwd.hpp>

namespace jasminetrack::daemon
{

inline constexpr int status_ok = 200;
inline constexpr int status_bad_request = 400;
inline constexpr int status_not_found = 404;
inline constexpr int status_conflict = 409;
inline constexpr int status_gone = 410;
inline constexpr int status_unprocessable = 422;
inline constexpr int status_too_many_requests = 429;
inline constexpr int status_unavailable = 503;
inline constexpr int status_gateway_timeout = 504;

/// A response to a refused request, which no target and no worker has run.
[[nodiscard]] runtime::http_response not_run_response(int status,
                                                      core::error const& why);
/// A response to a request that may have been run.
[[nodiscard]] runtime::http_response unknown_response(core::error const& why);
/// A response with a JSON body. Invalid UTF-8 is replaced.
[[nodiscard]] runtime::http_response json_response(nlohmann::json const& body,
                                                   int status = status_ok);

} // namespace jasminetrack::daemon
