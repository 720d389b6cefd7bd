#pragma once
/// \file
/// Calls of services: a chain of filters from request to answer.

#include "node_driver.hpp"
#include "replies.hpp"
#include "router_shards.hpp"

#include <array>

namespace jasminetrack::daemon
{

/// Figures for the metrics.
struct call_metrics
{
    std::atomic<std::uint64_t> done{0};
    std::atomic<std::uint64_t> not_run{0};
    std::atomic<std::uint64_t> unknown{0};
    std::atomic<std::uint64_t> retries{0};
    std::atomic<std::uint64_t> far_bytes{0}; ///< to and from other regions
};

/// Serves POST /v1/services/NAME/calls. Safe to use from several threads.
class call_chain
{
public:
    explicit call_chain(node_driver& c);

    [[nodiscard]] runtime::http_response
    serve(std::string const& service, runtime::http_request const& request);
    [[nodiscard]] call_metrics const& metrics() const noexcept
    {
        return metrics_;
    }

private:
    struct call;
    struct attempt;
    using step_result = std::optional<runtime::http_response>;
    using filter = step_result (call_chain::*)(call&);

    step_result parse(call& c);
    step_result identify(call& c);
    step_result admit(call& c);
    step_result send_idempotent(call& c);
    step_result answer_repeat(call& c);
    step_result record_intent(call& c);
    step_result send_once(call& c);

    /// Sends to the next target; nothing when none is left or time is up.
    [[nodiscard]] std::optional<attempt>
    try_next(call& c, std::vector<core::worker> const& list);
    [[nodiscard]] runtime::http_client_result
    send_to(call& c, core::target const& where);
    [[nodiscard]] runtime::http_response
    forward_answer(call const& c,
                   runtime::http_client_result const& answer) const;
    [[nodiscard]] runtime::http_response
    reply_from_log(call const& c, core::call_state const& known) const;
    [[nodiscard]] runtime::http_response
    end_call(call& c, core::call_end end,
             runtime::http_client_result const& answer);
    [[nodiscard]] std::vector<core::worker> workers() const;
    [[nodiscard]] core::error make_error(std::string step, std::string peer,
                                         std::string reason,
                                         std::string remedy) const;
    void count(runtime::http_response const& reply);
    [[nodiscard]] bool begin_team_request(std::string const& team);
    void end_team_request(std::string const& team);

    node_driver& driver_;
    router_shards routers_;
    runtime::http_client client_;
    call_metrics metrics_;
    std::mutex teams_mutex_;
    std::map<std::string, std::int64_t> teams_; ///< calls under way
};

} // namespace jasminetrack::daemon
