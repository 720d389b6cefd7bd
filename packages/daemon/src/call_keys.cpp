#include "call.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace jasminetrack::daemon
{

using runtime::http_client_result;
using runtime::http_response;
using runtime::monotonic_ms;

namespace
{

constexpr std::int64_t result_timeout_ms = 1000;
/// Recorded status of an answer whose body was too large for the log.
constexpr int status_body_dropped = 0;

} // namespace

http_response call_chain::response_from_log(call const& c,
                                            core::call_state const& known) const
{
    if (known.end == core::call_end::not_run)
        return not_run_response(
            status_unavailable,
            make_error("call.send", c.service.name,
                       "the call was refused before it was sent to a target",
                       "repeat the call with the same key"));
    if (known.end == core::call_end::unknown)
        return unknown_response(
            make_error("call.send", c.service.name,
                       "the target gave no complete answer; it may have run "
                       "the call",
                       "check at the service whether the call ran before you "
                       "send it with a new key"));
    if (known.status == status_body_dropped)
    {
        auto response = json_response(
            {{"outcome", "done"},
             {"step", "call.answer"},
             {"reason", "the call was run; its answer exceeded limits.answer "
                        "and was sent to the first caller only"}},
            status_gone);
        response.headers["X-Outcome"] = "done";
        return response;
    }
    http_client_result answer;
    answer.status = known.status;
    answer.body = known.body;
    return forward_answer(c, answer);
}

call_chain::step_result call_chain::answer_repeat(call& c)
{
    auto const id = core::request_key(c.team, c.key);
    std::optional<core::call_state> known;
    bool sender_gone = false;
    auto const is_open = [&]
    {
        return driver_.with_node(
            [&](core::node const& n)
            {
                auto const found = n.state().calls.find(id);
                if (found == n.state().calls.end())
                    known.reset();
                else
                    known = found->second;
                sender_gone =
                    known && !known->ended &&
                    !n.seems_alive(monotonic_ms(), known->incarnation);
                return known && !known->ended && !sender_gone;
            });
    };
    constexpr std::int64_t recheck_interval_ms = 200;
    while (is_open() && monotonic_ms() < c.until_ms)
        (void)driver_.changes().wait(
            "call/" + id,
            std::min(c.until_ms, monotonic_ms() + recheck_interval_ms),
            [&] { return !is_open(); });
    if (!known)
        return std::nullopt;
    if (known->service != c.service.name || known->digest != c.digest)
        return not_run_response(
            status_conflict,
            make_error("call.identify", "",
                       "key '" + c.key +
                           "' was used for a call to another service or with "
                           "another body",
                       "use a new key for a new call"));
    if (known->ended && known->end == core::call_end::not_run)
        return std::nullopt;
    if (known->ended)
        return response_from_log(c, *known);
    return unknown_response(
        make_error("call.wait", known->incarnation,
                   sender_gone ? "the entry VM that sent the call does "
                                 "not respond"
                               : "the call has not ended yet",
                   "repeat the call with the same key"));
}

call_chain::step_result call_chain::record_intent(call& c)
{
    core::call_record intent;
    intent.team = c.team;
    intent.key = c.key;
    intent.service = c.service.name;
    intent.digest = c.digest;
    intent.incarnation = driver_.incarnation();
    intent.expires = runtime::wall_ms() + (c.until_ms - monotonic_ms());
    auto const result = driver_.propose(intent, c.until_ms, c.sequence);
    if (result && result->accepted)
        return std::nullopt;
    if (result)
        return answer_repeat(c);
    // The intent may still reach the log, so a result is appended after it.
    // The result is `not_run`, as only this thread could have sent the call.
    if (!driver_.withdraw(c.sequence))
        (void)end_call(c, core::call_end::not_run, {});
    return not_run_response(
        status_unavailable,
        make_error("call.record", driver_.settings().platform,
                   "the log did not store the call before its deadline",
                   "repeat the call with the same key"));
}

http_response call_chain::end_call(call& c, core::call_end end,
                                   http_client_result const& answer)
{
    core::call_result_record result;
    result.team = c.team;
    result.key = c.key;
    result.end = end;
    result.status = answer.status;
    auto const max_body_bytes =
        static_cast<std::size_t>(driver_.settings().limits.answer_bytes);
    if (answer.body.size() <= max_body_bytes)
        result.body = answer.body;
    else
        result.status = status_body_dropped;
    if (end == core::call_end::not_run)
    {
        driver_.append(result);
        return {};
    }
    std::uint64_t sequence = 0;
    (void)driver_.propose(result, monotonic_ms() + result_timeout_ms, sequence);
    if (end == core::call_end::done)
        return forward_answer(c, answer);
    core::call_state ended;
    ended.end = end;
    return response_from_log(c, ended);
}

} // namespace jasminetrack::daemon
