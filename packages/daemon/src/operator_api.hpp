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
