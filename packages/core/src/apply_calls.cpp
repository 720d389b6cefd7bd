#include "apply_record.hpp"

namespace jasminetrack::core::detail
{

apply_result apply_body(cluster_state& s, log_entry const&,
                        call_record const& r)
{
    auto const key = request_key(r.team, r.key);
    auto const found = s.calls.find(key);
    bool const may_try_again = found != s.calls.end() && found->second.ended &&
                               found->second.end == call_end::not_run;
    if (found != s.calls.end() && !may_try_again)
        return refused("a call with this key came first");
    call_state call;
    call.team = r.team;
    call.key = r.key;
    call.service = r.service;
    call.digest = r.digest;
    call.incarnation = r.incarnation;
    call.expires = r.expires;
    call.began_ms = s.log_time;
    s.calls[key] = std::move(call);
    return accepted({"call", key, "will be sent once"});
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
        return refused("call " + key + " has its result");
    if (call.incarnation != e.writer)
        return refused("only the sender of " + key + " may end it");
    call.ended = true;
    call.end = r.end;
    call.status = r.status;
    call.body = r.body;
    return accepted({"call", key, to_text(r.end)});
}

} // namespace jasminetrack::core::detail
