#include <jasminetrack/entry/log_survey.hpp>

#include <jasminetrack/runtime/timer_service.hpp>

#include <nlohmann/json.hpp>

#include <limits>
#include <utility>

namespace jasminetrack::entry
{
namespace
{

using nlohmann::json;
using runtime::delivery;
using runtime::http_client_request;
using runtime::http_client_result;

/// A VM that answers later than this counts as one that does not.
constexpr milliseconds answer_timeout_ms = 400;
constexpr int status_ok = 200;
constexpr char const* path = "/log-state";
constexpr char const* cbor_type = "application/cbor";

/// \returns whether the log is away for the VM; nothing if it did not say so.
std::optional<bool> parse_answer(http_client_result const& a)
{
    if (a.result != delivery::answered || a.status != status_ok)
        return std::nullopt;
    try
    {
        return json::from_cbor(a.body).at(0).get<bool>();
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
}

/// A survey that waits for answers.
struct open_survey
{
    std::mutex mutex;
    survey_answers answers;
    std::size_t waiting = 0;
    std::function<void(survey_answers const&)> done;

    void on_answer(std::optional<bool> away)
    {
        {
            std::lock_guard<std::mutex> const lock(mutex);
            if (away)
                ++(*away ? answers.away : answers.readable);
            if (--waiting > 0)
                return;
        }
        done(answers);
    }
};

} // namespace

void outage_reports::on_read(bool succeeded) noexcept
{
    readable_ = succeeded;
}

void outage_reports::set_leading(bool leading) noexcept
{
    leading_ = leading;
}

bool outage_reports::report(milliseconds now) noexcept
{
    // Before the role is looked at, as it may be taken meanwhile.
    if (!readable_)
        told_at_ = now;
    return !readable_ && !leading_;
}

milliseconds outage_reports::newest() const noexcept
{
    return told_at_;
}

bool confirms_outage(survey_answers const& a) noexcept
{
    auto const all = a.asked + 1;
    return a.readable == 0 && 2 * (a.away + 1) > all;
}

log_survey::log_survey(runtime::http_client& client, peer_directory& peers)
    : client_(client), peers_(peers)
{
}

void log_survey::ask(std::function<void(survey_answers const&)> done)
{
    auto const addresses =
        peers_.first(std::numeric_limits<std::size_t>::max());
    if (addresses.empty())
    {
        done({});
        return;
    }
    auto const survey = std::make_shared<open_survey>();
    survey->answers.asked = survey->waiting = addresses.size();
    survey->done = std::move(done);
    for (auto const& address : addresses)
    {
        http_client_request call;
        call.address = address;
        call.method = "GET";
        call.path = path;
        call.timeout_ms = answer_timeout_ms;
        client_.send(std::move(call), [survey](http_client_result const& a)
                     { survey->on_answer(parse_answer(a)); });
    }
}

runtime::http_response serve_log_state(outage_reports& reports)
{
    bool const away = reports.report(runtime::monotonic_ms());
    auto const bytes = json::to_cbor(json::array({away}));
    return {status_ok, {bytes.begin(), bytes.end()}, cbor_type, {}};
}

bool is_log_state_request(runtime::http_request const& request)
{
    return request.path == path;
}

} // namespace jasminetrack::entry
