#include "jobs_api.hpp"

#include <jasminetrack/protocol/json_types.hpp>

#include <algorithm>

namespace jasminetrack::daemon
{

using nlohmann::json;
using runtime::http_request;
using runtime::http_response;
using runtime::monotonic_ms;

namespace
{

constexpr std::int64_t append_timeout_ms = 5000;
constexpr std::int64_t max_wait_ms = 60'000;
/// Above the long poll of a read of the log.
constexpr std::int64_t read_timeout_ms = 2000;
constexpr std::size_t max_key_bytes = 128;

json describe(core::job const& j, std::string const& why)
{
    json out = j;
    out["explanation"] = why;
    if (j.state == core::job_state::ended)
        out["outcome"] = j.end;
    return out;
}

/// A job submission in JSON, as callers send it.
struct submission
{
    std::string team;
    std::string key;
    std::string job_class;
    std::string payload;
    std::int64_t run_hint_ms = 0;
};

JASMINETRACK_JSON(submission, team, key, job_class, payload, run_hint_ms)

core::outcome<submission> parse_submission(std::string const& body)
{
    core::error failure{"job.parse", "caller", "", ""};
    try
    {
        auto const j = json::parse(body);
        for (auto const& [name, value] : j.items())
        {
            static std::set<std::string> const known = {
                "team", "key", "job_class", "payload", "run_hint_ms"};
            if (known.count(name) != 0)
                continue;
            failure.reason = "unknown field '" + name + "'";
            failure.remedy = "known fields: team, key, job_class, payload, "
                             "run_hint_ms";
            return failure;
        }
        auto s = j.get<submission>();
        for (auto const* field : {&s.team, &s.key, &s.job_class})
            if (field->empty() || field->size() > max_key_bytes)
            {
                failure.reason = "team, key and job_class must have 1 to 128 "
                                 "bytes each";
                failure.remedy = "set all three fields";
                return failure;
            }
        return s;
    }
    catch (std::exception const& e)
    {
        failure.reason = e.what();
        failure.remedy = "send a JSON object in UTF-8";
        return failure;
    }
}

} // namespace

jobs_api::jobs_api(node_driver& driver) : driver_(driver) {}

http_response jobs_api::refuse(int status, std::string step, std::string reason,
                               std::string remedy) const
{
    return not_run_response(status, {std::move(step), driver_.settings().node,
                                     std::move(reason), std::move(remedy)});
}

http_response jobs_api::serve(std::string const& rest,
                              http_request const& request)
{
    if (rest.empty() || rest == "/")
        return request.method == "POST" ? submit(request) : list(request);
    auto const id = rest.substr(1, rest.find('/', 1) - 1);
    if (rest == "/" + id + "/cancel" && request.method == "POST")
        return cancel(id);
    if (rest == "/" + id && request.method == "GET")
        return show(id, request);
    return refuse(status_not_found, "job.parse",
                  "there is no resource /v1/jobs" + rest + " for method " +
                      request.method,
                  "use /v1/jobs, /v1/jobs/ID or /v1/jobs/ID/cancel");
}

std::optional<core::job> jobs_api::find(std::string const& id) const
{
    return driver_.with_node(
        [&](core::node const& n) -> std::optional<core::job>
        {
            auto const found = n.state().jobs.find(id);
            if (found == n.state().jobs.end())
                return std::nullopt;
            return found->second;
        });
}

http_response jobs_api::submit(http_request const& request)
{
    auto const parsed = parse_submission(request.body);
    if (!parsed)
        return not_run_response(status_bad_request, parsed.failure());
    bool const draining =
        driver_.with_node([](core::node const& n) { return n.draining(); });
    if (draining)
        return refuse(status_unavailable, "job.admit",
                      "this entry VM is shutting down", "use another entry VM");
    auto const& s = parsed.value();
    core::submit_record const record{s.team, s.key, s.job_class, s.payload,
                                     s.run_hint_ms};
    std::uint64_t sequence = 0;
    auto const result =
        driver_.propose(record, monotonic_ms() + append_timeout_ms, sequence);
    if (result && result->accepted)
        return json_response({{"job", result->id}, {"outcome", "accepted"}});
    if (result)
        return refuse(
            status_unprocessable, "job.submit", result->reason,
            "check the configuration with 'jasminetrack ticket show'");
    if (driver_.withdraw(sequence))
        return refuse(status_unavailable, "job.record",
                      "the log did not store the job within " +
                          std::to_string(append_timeout_ms) + " ms",
                      "submit again with the same key");
    return unknown_response(
        {"job.record", driver_.settings().platform,
         "the log did not confirm the job within " +
             std::to_string(append_timeout_ms) + " ms",
         "submit again with the same key; the job will not run "
         "twice"});
}

http_response jobs_api::list(http_request const& request) const
{
    auto const team = request.query.find("team");
    json jobs = json::array();
    driver_.with_node(
        [&](core::node const& n)
        {
            for (auto const& [id, j] : n.state().jobs)
                if (team == request.query.end() || j.team == team->second)
                    jobs.push_back({{"job", id},
                                    {"team", j.team},
                                    {"job_class", j.job_class},
                                    {"state", j.state},
                                    {"end", j.end}});
            return 0;
        });
    return json_response({{"jobs", std::move(jobs)}});
}

http_response jobs_api::show(std::string const& id, http_request const& request)
{
    auto const wait = request.query.find("wait_ms");
    std::int64_t const wait_ms =
        wait == request.query.end()
            ? 0
            : std::clamp<std::int64_t>(
                  std::strtoll(wait->second.c_str(), nullptr, 10), 0,
                  max_wait_ms);
    auto const until = monotonic_ms() + wait_ms;
    auto j = find(id);
    (void)driver_.changes().wait("job/" + id, until,
                                 [&]
                                 {
                                     j = find(id);
                                     return j &&
                                            j->state == core::job_state::ended;
                                 });
    // Another entry VM may have accepted the job just now.
    bool const complete =
        j || driver_.await_read(monotonic_ms() + read_timeout_ms);
    if (!complete)
        return refuse(status_unavailable, "job.find",
                      "this entry VM cannot tell whether there is a job '" +
                          id + "'; it cannot reach the log",
                      "use another entry VM");
    if (!j)
        j = find(id);
    if (!j)
        return refuse(status_not_found, "job.find",
                      "there is no job '" + id + "'",
                      "list the jobs with 'jasminetrack jobs'");
    auto const why = driver_.with_node(
        [&](core::node const& n)
        { return core::explain(n.state(), *j, driver_.settings().policy); });
    return json_response(describe(*j, why));
}

http_response jobs_api::cancel(std::string const& id)
{
    std::uint64_t sequence = 0;
    auto const result = driver_.propose(
        core::cancel_record{id}, monotonic_ms() + append_timeout_ms, sequence);
    if (result && result->accepted)
    {
        auto const j = find(id);
        return json_response({{"job", id},
                              {"outcome", "accepted"},
                              {"state", j ? json(j->state) : json(nullptr)},
                              {"end", j ? json(j->end) : json(nullptr)}});
    }
    if (result)
        return refuse(status_not_found, "job.cancel", result->reason,
                      "list the jobs with 'jasminetrack jobs'");
    if (driver_.withdraw(sequence))
        return refuse(status_unavailable, "job.cancel",
                      "the log did not store the cancellation within " +
                          std::to_string(append_timeout_ms) + " ms",
                      "cancel again");
    return unknown_response(
        {"job.cancel", driver_.settings().platform,
         "the log did not confirm the cancellation within " +
             std::to_string(append_timeout_ms) + " ms",
         "check the job's state with 'jasminetrack jobs'"});
}

} // namespace jasminetrack::daemon
