#pragma once
/// \file
/// Talks to the entry VMs; goes on to the next one that may be asked.

#include <jasminetrack/runtime/http_client.hpp>

#include <optional>
#include <string>
#include <vector>

namespace jasminetrack::cli
{

inline constexpr int exit_done = 0;
inline constexpr int exit_refused = 1;
inline constexpr int exit_usage = 2;
inline constexpr int exit_unknown = 3;
inline constexpr int exit_unreachable = 4;

/// Asks entry VMs in their order.
class entry_client
{
public:
    /// \param entries IP:port of each
    explicit entry_client(std::vector<std::string> entries);

    [[nodiscard]] std::vector<std::string> const& entries() const noexcept
    {
        return entries_;
    }
    /// Sends to one entry VM after the other until one answers. Only for
    /// requests that may arrive twice: reads, and those with a key.
    [[nodiscard]] runtime::http_client_result
    send(runtime::http_client_request call);
    /// Sends to this entry VM alone.
    [[nodiscard]] runtime::http_client_result
    send_to(std::string const& entry, runtime::http_client_request call);

private:
    std::vector<std::string> entries_;
    runtime::http_client client_;
};

/// \returns the exit code that tells what became of a request.
[[nodiscard]] int exit_code_of(runtime::http_client_result const& answer);

} // namespace jasminetrack::cli
