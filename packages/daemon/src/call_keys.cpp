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

constexpr std::int64_t result_patience_ms = 1000;
constexpr int status_not_kept = 0; ///< the answer was too large for the log

} // namespace

http_response call_chain::reply_from_log(call const& c,
                                         core::call_state const& known) const
{
    if (known.end == core::call_end::not_run)
        return not_run_reply(status_unavailable,
                             make_error("call.send", c.service.name,
                                        "it was refused before it was sent",
                                        "ask again with the same key"));
    if (known.end == core::call_end::unknown)
        return unknown_reply(
            make_error("call.send", c.service.name,
                       "the target gave no whole answer; it may have "
                       "run the call",
                       "find out at the service before you ask again "
                       "with a new key"));
    if (known.status == status_not_kept)
    {
        auto reply = json_reply(
            {{"outcome", "done"},
             {"step", "call.answer"},
             {"reason", "it was run; its answer exceeded limits.answer and "
                        "went only to the first caller"}},
            status_gone);
        reply.headers["X-Outcome"] = "done";
        return reply;
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
    constexpr std::int64_t look_again_ms = 200;
    while (is_open() && monotonic_ms() < c.until_ms)
        (void)driver_.changes().wait(
            "call/" + id, std::min(c.until_ms, monotonic_ms() + look_again_ms),
            [&] { return !is_open(); });
    if (!known)
        return std::nullopt;
    if (known->service != c.service.name || known->digest != c.digest)
        return not_run_reply(
            status_conflict,
            make_error("call.identify", "",
                       "key '" + c.key + "' was used for another request",
                       "take a new key for a new request"));
    if (known->ended && known->end == core::call_end::not_run)
        return std::nullopt;
    if (known->ended)
        return reply_from_log(c, *known);
    return unknown_reply(
        make_error("call.wait", known->incarnation,
                   sender_gone ? "the entry VM that sent the call is gone"
                               : "the call is still under way",
                   "ask again with the same key"));
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
    auto const verdict = driver_.propose(intent, c.until_ms, c.sequence);
    if (verdict && verdict->accepted)
        return std::nullopt;
    if (verdict)
        return answer_repeat(c);
    // The intent may still reach the log; it is closed behind it. Nothing
    // was sent, and only this thread could have.
    if (!driver_.withdraw(c.sequence))
        (void)end_call(c, core::call_end::not_run, {});
    return not_run_reply(status_unavailable,
                         make_error("call.record", driver_.settings().platform,
                                    "the log did not take the request in time",
                                    "ask again with the same key"));
}

http_response call_chain::end_call(call& c, core::call_end end,
                                   http_client_result const& answer)
{
    core::call_result_record result;
    result.team = c.team;
    result.key = c.key;
    result.end = end;
    result.status = answer.status;
    auto const most =
        static_cast<std::size_t>(driver_.settings().limits.answer_bytes);
    if (answer.body.size() <= most)
        result.body = answer.body;
    else
        result.status = status_not_kept;
    if (end == core::call_end::not_run)
    {
        driver_.append(result);
        return {};
    }
    std::uint64_t sequence = 0;
    (void)driver_.propose(result, monotonic_ms() + result_patience_ms,
                          sequence);
    if (end == core::call_end::done)
        return forward_answer(c, answer);
    core::call_state ended;
    ended.end = end;
    return reply_from_log(c, ended);
}

} // namespace jasminetrack::daemon
