#include "entry_client.hpp"

namespace jasminetrack::cli
{

using runtime::delivery;
using runtime::http_client_request;
using runtime::http_client_result;

entry_client::entry_client(std::vector<std::string> entries)
    : entries_(std::move(entries))
{
}

http_client_result entry_client::send_to(std::string const& entry,
                                         http_client_request call)
{
    call.address = entry;
    call.fresh_connection = true;
    return client_.send(std::move(call));
}

http_client_result entry_client::send(http_client_request call)
{
    http_client_result last;
    last.result = delivery::not_sent;
    last.reason = "no entry VM is given";
    for (auto const& entry : entries_)
    {
        auto answer = send_to(entry, call);
        if (answer.result == delivery::answered)
            return answer;
        bool const may_have_arrived = last.result == delivery::unknown ||
                                      answer.result == delivery::unknown;
        last = std::move(answer);
        if (may_have_arrived)
            last.result = delivery::unknown;
    }
    return last;
}

int exit_code_of(http_client_result const& answer)
{
    constexpr int first_failure = 400;
    constexpr int outcome_unknown = 504;
    if (answer.result == delivery::not_sent)
        return exit_unreachable;
    if (answer.result == delivery::unknown || answer.status == outcome_unknown)
        return exit_unknown;
    return answer.status >= first_failure ? exit_refused : exit_done;
}

} // namespace jasminetrack::cli
