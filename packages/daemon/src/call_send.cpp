#include "call.hpp"

#include <jasminetrack/core/evacuation.hpp>

#include <algorithm>

namespace jasminetrack::daemon
{

using runtime::delivery;
using runtime::http_client_result;
using runtime::http_response;
using runtime::monotonic_ms;

namespace
{

constexpr int first_server_error = 500;

core::target_result result_of(http_client_result const& answer)
{
    auto const refusal = runtime::header_value(answer.headers, "x-not-run");
    if (refusal == "busy")
        return core::target_result::busy;
    if (refusal == "leaving")
        return core::target_result::leaving;
    return answer.result == delivery::answered ? core::target_result::answered
                                               : core::target_result::failed;
}

/// Describes a failure or a refusal of a target, for the caller's error.
std::string describe_failure(http_client_result const& answer)
{
    if (answer.result != delivery::answered)
        return answer.reason;
    auto const refusal = runtime::header_value(answer.headers, "x-not-run");
    return refusal.empty() ? "status " + std::to_string(answer.status)
                           : "the target is " + refusal;
}

/// \returns whether the target certainly ran nothing of the call.
bool was_not_run(http_client_result const& answer, core::target_result result)
{
    return answer.result == delivery::not_sent ||
           result == core::target_result::busy ||
           result == core::target_result::leaving;
}

} // namespace

/// The call as sent to one target.
struct call_chain::attempt
{
    core::target where;
    http_client_result answer;
    core::target_result result = core::target_result::failed;
};

std::vector<core::worker> call_chain::workers() const
{
    auto list = driver_.listed_vms().workers;
    return driver_.with_node(
        [&](core::node const& n)
        { return core::call_targets(n.state(), std::move(list)); });
}

http_client_result call_chain::send_to(call& c, core::target const& where)
{
    runtime::http_client_request out;
    out.address = where.address;
    out.method = "POST";
    out.path = c.service.path;
    out.body = c.request.body;
    out.content_type = runtime::header_value(c.request.headers, "content-type");
    if (out.content_type.empty())
        out.content_type = "application/octet-stream";
    out.headers["X-Team"] = c.team;
    out.headers["X-Request-Key"] = c.key;
    out.headers["X-Service"] = c.service.name;
    out.timeout_ms = std::max<std::int64_t>(1, c.until_ms - monotonic_ms());
    out.fresh_connection = true;
    auto answer = client_.send(out);
    if (where.region != driver_.settings().region)
        metrics_.cross_region_bytes += out.body.size() + answer.body.size();
    if (answer.result != delivery::answered)
        return answer;
    auto const echoed = runtime::header_value(answer.headers, "x-request-key");
    auto const digest = runtime::header_value(answer.headers, "x-digest");
    bool const intact =
        (echoed.empty() || echoed == c.key) &&
        (digest.empty() || digest == runtime::digest_of(answer.body));
    if (!intact)
    {
        answer.result = delivery::unknown;
        answer.reason = "the answer does not match its X-Digest, or its "
                        "X-Request-Key is of another call";
    }
    return answer;
}

http_response call_chain::forward_answer(call const& c,
                                         http_client_result const& answer) const
{
    http_response response;
    response.status = answer.status;
    response.body = answer.body;
    auto const type = runtime::header_value(answer.headers, "content-type");
    response.content_type = type.empty() ? "application/octet-stream" : type;
    response.headers["X-Outcome"] = "done";
    response.headers["X-Request-Key"] = c.key;
    response.headers["X-Digest"] = runtime::digest_of(answer.body);
    return response;
}

std::optional<call_chain::attempt> call_chain::try_next(call& c)
{
    if (monotonic_ms() >= c.until_ms)
        return std::nullopt;
    auto where = routers_.begin(c.service.name, workers(), c.tried);
    if (!where)
        return std::nullopt;
    c.tried.insert(where->name);
    attempt t{std::move(*where), {}, {}};
    t.answer = send_to(c, t.where);
    t.result = result_of(t.answer);
    bool const server_error =
        c.service.idempotent && t.answer.status >= first_server_error;
    if (t.result == core::target_result::answered && server_error)
        t.result = core::target_result::failed;
    routers_.end(c.service.name, t.where.name, t.result);
    return t;
}

call_chain::step_result call_chain::send_idempotent(call& c)
{
    if (!c.service.idempotent)
        return std::nullopt;
    std::string last_failure = "no target is available";
    int unanswered = 0;
    while (auto const t = try_next(c))
    {
        if (t->result == core::target_result::answered)
            return forward_answer(c, t->answer);
        last_failure = t->where.name + ": " + describe_failure(t->answer);
        if (was_not_run(t->answer, t->result) &&
            t->result != core::target_result::failed)
            continue;
        if (t->answer.result != delivery::not_sent)
            ++unanswered;
        if (unanswered >= core::max_unanswered_sends)
        {
            last_failure += "; " + std::to_string(unanswered) +
                            " targets gave no valid answer";
            break;
        }
        if (!routers_.consume_retry_token(c.service.name))
        {
            last_failure += "; the retry budget is exhausted";
            break;
        }
        ++metrics_.retries;
    }
    if (unanswered == 0)
        return not_run_response(status_unavailable,
                                make_error("call.send", c.service.name,
                                           last_failure,
                                           "repeat the call later"));
    return unknown_response(
        make_error("call.send", c.service.name, last_failure,
                   "repeat the call with the same key; the service is "
                   "idempotent"));
}

call_chain::step_result call_chain::send_once(call& c)
{
    std::string last_failure = "no target is available";
    while (auto const t = try_next(c))
    {
        if (!was_not_run(t->answer, t->result))
            return end_call(c,
                            t->answer.result == delivery::answered
                                ? core::call_end::done
                                : core::call_end::unknown,
                            t->answer);
        last_failure = t->where.name + ": " + describe_failure(t->answer);
    }
    (void)end_call(c, core::call_end::not_run, {});
    return not_run_response(status_unavailable,
                            make_error("call.send", c.service.name,
                                       last_failure,
                                       "repeat the call with the same key"));
}

} // namespace jasminetrack::daemon
