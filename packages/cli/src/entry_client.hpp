#pragma once
/// \file
/// Client of the entry VMs that tries them in order.

#include <jasminetrack/runtime/http_client.hpp>

#include <optional>
#include <string>
#include <vector>

namespace jasminetrack::cli
{

inline constexpr int exit_done = 0;
inline constexpr int exit_refused = 1;     ///< refused, not run
inline constexpr int exit_usage = 2;       ///< wrong command line or file
inline constexpr int exit_unknown = 3;     ///< the request may have been run
inline constexpr int exit_unreachable = 4; ///< no entry VM was reached

/// Sends requests to entry VMs, each on a new connection.
class entry_client
{
public:
    /// \param entries IP:port of each, in the order in which to try them
    explicit entry_client(std::vector<std::string> entries);

    [[nodiscard]] std::vector<std::string> const& entries() const noexcept
    {
        return entries_;
    }
    /// Sends to one entry VM after another until one answers. Use it only for
    /// requests that may arrive twice: reads, and writes with a request key.
    /// \returns the answer; if there is none, a result that is `unknown` if any
    /// entry VM may have received the request.
    [[nodiscard]] runtime::http_client_result
    send(runtime::http_client_request call);
    /// Sends to one entry VM.
    [[nodiscard]] runtime::http_client_result
    send_to(std::string const& entry, runtime::http_client_request call);

private:
    std::vector<std::string> entries_;
    runtime::http_client client_;
};

/// \returns the exit code for the result of a request.
[[nodiscard]] int exit_code_of(runtime::http_client_result const& answer);

} // namespace jasminetrack::cli
