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

    [[nodiscard]] runtime::http_reply
    tickets(runtime::http_request const& request);
    [[nodiscard]] runtime::http_reply status() const;
    [[nodiscard]] runtime::http_reply
    timeline(runtime::http_request const& request);
    [[nodiscard]] runtime::http_reply metrics();
    [[nodiscard]] runtime::http_reply ready() const;

private:
    [[nodiscard]] runtime::http_reply
    apply_ticket(runtime::http_request const& request);
    [[nodiscard]] runtime::http_reply show_tickets() const;

    node_driver& driver_;
    call_chain const& calls_;
};

} // namespace jasminetrack::daemon
