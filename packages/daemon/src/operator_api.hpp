#pragma once
/// \file
/// HTTP interface for operators: tickets, status, timeline, metrics and
/// readiness.

#include "call_chain.hpp"

namespace jasminetrack::daemon
{

/// Serves /v1/tickets, /v1/status, /v1/timeline, /metrics and /readyz. Safe to
/// use from several threads.
class operator_api
{
public:
    operator_api(node_driver& driver, call_chain const& calls);

    [[nodiscard]] runtime::http_response
    tickets(runtime::http_request const& request);
    [[nodiscard]] runtime::http_response status() const;
    [[nodiscard]] runtime::http_response
    timeline(runtime::http_request const& request);
    [[nodiscard]] runtime::http_response metrics();
    [[nodiscard]] runtime::http_response ready() const;

private:
    [[nodiscard]] runtime::http_response
    apply_ticket(runtime::http_request const& request);
    [[nodiscard]] runtime::http_response show_tickets() const;

    node_driver& driver_;
    call_chain const& calls_;
};

} // namespace jasminetrack::daemon
