#pragma once
/// \file
/// The replies that callers get: done, refused and not run, or unknown.

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
inline constexpr int status_too_many = 429;
inline constexpr int status_unavailable = 503;
inline constexpr int status_unknown = 504;

/// The request was refused; no target and no worker ran any of it.
[[nodiscard]] runtime::http_response not_run_reply(int status,
                                                   core::error const& why);
/// The request may or may not have been run.
[[nodiscard]] runtime::http_response unknown_reply(core::error const& why);
/// A JSON document.
[[nodiscard]] runtime::http_response json_reply(nlohmann::json const& body,
                                                int status = status_ok);

} // namespace jasminetrack::daemon
