#pragma once
/// \file
/// What operators ask for: tickets, status, time line, metrics, health.

#include "call_chain.hpp"

namespace jasminetrack::daemon
{

/// Safe to use from several threads.
class operator_api
{
public:
    operator_api(node_driver& c, call_chain const& calls);

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
