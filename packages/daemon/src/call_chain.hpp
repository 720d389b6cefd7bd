#pragma once
/// \file
/// Serves calls of services with a chain of filters; the first filter that
/// returns a response ends the chain.

#include "node_driver.hpp"
#include "responses.hpp"
#include "router_shards.hpp"

#include <array>

namespace jasminetrack::daemon
{

/// Counters of calls, by outcome.
struct call_metrics
{
    std::atomic<std::uint64_t> done{0};
    std::atomic<std::uint64_t> not_run{0};
    std::atomic<std::uint64_t> unknown{0};
    std::atomic<std::uint64_t> retries{0};
    /// Sent to and received from other regions.
    std::atomic<std::uint64_t> cross_region_bytes{0};
};

/// Serves POST /v1/services/NAME/calls. Safe to use from several threads.
class call_chain
{
public:
    explicit call_chain(node_driver& driver);

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
    /// Finds the service and checks that it belongs to the team.
    step_result identify(call& c);
    step_result admit(call& c);
    /// Tries targets until one answers, if the service is idempotent.
    step_result send_idempotent(call& c);
    /// Answers a call whose key was used before from the log, and waits for its
    /// outcome if it is still open.
    step_result answer_repeat(call& c);
    /// Records the call in the log before it is sent.
    step_result record_intent(call& c);
    /// Tries targets until one may have run the call.
    step_result send_once(call& c);

    /// Sends the call to the next target. \returns nothing if no target is left
    /// or the deadline has passed.
    [[nodiscard]] std::optional<attempt> try_next(call& c);
    [[nodiscard]] runtime::http_client_result
    send_to(call& c, core::target const& where);
    [[nodiscard]] runtime::http_response
    forward_answer(call const& c,
                   runtime::http_client_result const& answer) const;
    [[nodiscard]] runtime::http_response
    response_from_log(call const& c, core::call_state const& known) const;
    /// Records the outcome in the log and builds the response.
    [[nodiscard]] runtime::http_response
    end_call(call& c, core::call_end end,
             runtime::http_client_result const& answer);
    /// \returns the listed workers with the conditions that this node knows.
    [[nodiscard]] std::vector<core::worker> workers() const;
    [[nodiscard]] core::error make_error(std::string step, std::string peer,
                                         std::string reason,
                                         std::string remedy) const;
    void count(runtime::http_response const& response);
    /// Counts an open request of the team. \returns false if the team has
    /// reached limits.team_requests.
    [[nodiscard]] bool begin_team_request(std::string const& team);
    void end_team_request(std::string const& team);

    node_driver& driver_;
    router_shards routers_;
    runtime::http_client client_;
    call_metrics metrics_;
    std::mutex open_requests_mutex_;
    std::map<std::string, std::int64_t> open_requests_; ///< by team
};

} // namespace jasminetrack::daemon
