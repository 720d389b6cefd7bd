#include "replies.hpp"

#include <nlohmann/json.hpp>

namespace jasminetrack::daemon
{
namespace
{

runtime::http_response failure(char const* outcome, int status,
                               core::error const& why)
{
    nlohmann::json const body{{"outcome", outcome},
                              {"step", why.step},
                              {"peer", why.peer},
                              {"reason", why.reason},
                              {"remedy", why.remedy}};
    auto reply = json_reply(body, status);
    reply.headers["X-Outcome"] = outcome;
    return reply;
}

} // namespace

runtime::http_response json_reply(nlohmann::json const& body, int status)
{
    using handler = nlohmann::json::error_handler_t;
    return {status,
            body.dump(-1, ' ', false, handler::replace),
            "application/json",
            {}};
}

runtime::http_response not_run_reply(int status, core::error const& why)
{
    return failure("not_run", status, why);
}

runtime::http_response unknown_reply(core::error const& why)
{
    return failure("unknown", status_unknown, why);
}

} // namespace jasminetrack::daemon
