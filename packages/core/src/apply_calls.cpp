#include "apply_record.hpp"

namespace jasminetrack::core::detail
{

apply_result apply_body(cluster_state& s, log_entry const&,
                        call_record const& r)
{
    auto const key = request_key(r.team, r.key);
    auto const found = s.calls.find(key);
    bool const was_not_run = found != s.calls.end() && found->second.ended &&
                             found->second.end == call_end::not_run;
    if (found != s.calls.end() && !was_not_run)
        return refused("a call with key " + key + " is already recorded");
    call_state call;
    call.team = r.team;
    call.key = r.key;
    call.service = r.service;
    call.digest = r.digest;
    call.incarnation = r.incarnation;
    call.expires = r.expires;
    call.began_ms = s.log_time;
    s.calls[key] = std::move(call);
    return accepted({"call", key, "recorded; it will be sent at most once"});
}

apply_result apply_body(cluster_state& s, log_entry const& e,
                        call_result_record const& r)
{
    auto const key = request_key(r.team, r.key);
    auto const found = s.calls.find(key);
    if (found == s.calls.end())
        return refused("there is no call " + key);
    auto& call = found->second;
    if (call.ended)
        return refused("call " + key + " already has a result");
    if (call.incarnation != e.writer)
        return refused("only the sender of call " + key +
                       " may record its result");
    call.ended = true;
    call.end = r.end;
    call.status = r.status;
    call.body = r.body;
    return accepted({"call", key, to_text(r.end)});
}

} // namespace jasminetrack::core::detail
