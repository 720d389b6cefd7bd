#include "call.hpp"

#include <algorithm>
#include <array>

namespace jasminetrack::daemon
{

using runtime::http_request;
using runtime::http_response;
using runtime::monotonic_ms;

namespace
{

constexpr std::int64_t longest_deadline_ms = 120'000;
constexpr std::size_t longest_key = 128;

} // namespace

call_chain::call_chain(node_driver& c)
    : driver_(c), routers_(c.settings().region)
{
}

core::error call_chain::make_error(std::string step, std::string peer,
                                   std::string reason, std::string remedy) const
{
    if (peer.empty())
        peer = driver_.settings().node;
    return {std::move(step), std::move(peer), std::move(reason),
            std::move(remedy)};
}

bool call_chain::begin_team_request(std::string const& team)
{
    std::lock_guard<std::mutex> const lock(teams_mutex_);
    auto& under_way = teams_[team];
    if (under_way >= driver_.settings().limits.team_requests)
        return false;
    ++under_way;
    return true;
}

void call_chain::end_team_request(std::string const& team)
{
    std::lock_guard<std::mutex> const lock(teams_mutex_);
    auto const found = teams_.find(team);
    if (--found->second == 0)
        teams_.erase(found);
}

void call_chain::count(http_response const& reply)
{
    auto const outcome = runtime::header_value(reply.headers, "X-Outcome");
    if (outcome == "done")
        ++metrics_.done;
    else if (outcome == "not_run")
        ++metrics_.not_run;
    else
        ++metrics_.unknown;
}

http_response call_chain::serve(std::string const& service,
                                http_request const& request)
{
    call c{service, request, {}, {}, {}, 0, {}, 0, {}};
    constexpr std::array<filter, 2> entrance = {&call_chain::parse,
                                                &call_chain::identify};
    constexpr std::array<filter, 5> passage = {
        &call_chain::admit, &call_chain::send_idempotent,
        &call_chain::answer_repeat, &call_chain::record_intent,
        &call_chain::send_once};
    for (auto step : entrance)
        if (auto reply = (this->*step)(c))
        {
            count(*reply);
            return *reply;
        }
    if (!begin_team_request(c.team))
    {
        auto reply = not_run_reply(
            status_too_many,
            make_error(
                "call.admit", "",
                "limits.team_requests of " +
                    std::to_string(driver_.settings().limits.team_requests) +
                    " is reached for team " + c.team,
                "wait for answers before sending more"));
        count(reply);
        return reply;
    }
    http_response reply;
    for (auto step : passage)
        if (auto r = (this->*step)(c))
        {
            reply = std::move(*r);
            break;
        }
    end_team_request(c.team);
    count(reply);
    return reply;
}

call_chain::step_result call_chain::parse(call& c)
{
    if (c.request.method != "POST")
        return not_run_reply(status_bad_request,
                             make_error("call.parse", "",
                                        "calls are made with POST",
                                        "use POST"));
    c.team = runtime::header_value(c.request.headers, "x-team");
    c.key = runtime::header_value(c.request.headers, "x-request-key");
    if (c.team.empty())
        return not_run_reply(status_bad_request,
                             make_error("call.parse", "",
                                        "header X-Team is missing",
                                        "send X-Team: NAME"));
    if (c.key.empty() || c.key.size() > longest_key)
        return not_run_reply(
            status_bad_request,
            make_error("call.parse", "",
                       "header X-Request-Key must have 1 to 128 characters",
                       "send a key of your own; repeat it when you ask again"));
    return std::nullopt;
}

call_chain::step_result call_chain::identify(call& c)
{
    bool current = false;
    auto const found = driver_.with_node(
        [&](core::node const& n) -> std::optional<core::service>
        {
            current = n.is_current(monotonic_ms());
            auto const& services = n.state().config.services;
            auto const s = services.find(c.service_name);
            if (s == services.end())
                return std::nullopt;
            return s->second;
        });
    if (!current)
        return not_run_reply(
            status_unavailable,
            make_error("call.identify", "",
                       "this entry VM cannot tell whether its configuration is "
                       "in force; it has no contact to the log",
                       "use another entry VM"));
    if (!found)
        return not_run_reply(
            status_not_found,
            make_error("call.identify", "",
                       "there is no service '" + c.service_name + "'",
                       "look at 'jasminetrack ticket show'"));
    if (found->team != c.team)
        return not_run_reply(status_not_found,
                             make_error("call.identify", "",
                                        "service '" + c.service_name +
                                            "' is not of team '" + c.team + "'",
                                        "correct X-Team"));
    c.service = *found;
    auto deadline = c.service.deadline_ms;
    auto const wished =
        runtime::header_value(c.request.headers, "x-deadline-ms");
    if (!wished.empty())
        deadline = std::min<std::int64_t>(
            deadline, std::strtoll(wished.c_str(), nullptr, 10));
    c.until_ms = monotonic_ms() +
                 std::clamp<std::int64_t>(deadline, 1, longest_deadline_ms);
    c.digest = runtime::digest_of(c.request.body);
    return std::nullopt;
}

call_chain::step_result call_chain::admit(call&)
{
    bool const draining =
        driver_.with_node([](core::node const& n) { return n.draining(); });
    if (!draining)
        return std::nullopt;
    return not_run_reply(status_unavailable,
                         make_error("call.admit", "",
                                    "this entry VM is being stopped",
                                    "use another entry VM"));
}

} // namespace jasminetrack::daemon
