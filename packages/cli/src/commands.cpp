#include "commands.hpp"
#include "timeline_view.hpp"

#include <jasminetrack/protocol/ticket_file.hpp>
#include <jasminetrack/runtime/timer_service.hpp>

#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

namespace jasminetrack::cli
{

using nlohmann::json;
using runtime::delivery;
using runtime::http_client_request;
using runtime::http_client_result;

namespace
{

constexpr std::int64_t request_timeout_ms = 10'000;
constexpr std::int64_t call_timeout_ms = 125'000; ///< for service calls

bool read_file(std::string const& path, std::string& text)
{
    std::stringstream all;
    if (path == "-")
    {
        all << std::cin.rdbuf();
        text = all.str();
        return true;
    }
    std::ifstream file(path, std::ios::binary);
    if (!file)
    {
        std::cerr << path << ": cannot be read (name a file, or - for "
                  << "standard input)\n";
        return false;
    }
    all << file.rdbuf();
    text = all.str();
    return true;
}

std::string new_key()
{
    std::random_device random;
    std::stringstream text;
    text << "cli-" << runtime::wall_ms() << "-" << std::hex << random();
    return text.str();
}

http_client_request get(std::string path)
{
    http_client_request c;
    c.path = std::move(path);
    c.timeout_ms = request_timeout_ms;
    return c;
}

http_client_request post(std::string path, std::string body)
{
    auto c = get(std::move(path));
    c.method = "POST";
    c.body = std::move(body);
    return c;
}

json body_of(http_client_result const& answer)
{
    return json::parse(answer.body, nullptr, false);
}

void print_failure(http_client_result const& answer)
{
    if (answer.result == delivery::not_sent)
    {
        std::cerr << "no entry VM could be reached: " << answer.reason
                  << "\n  try: pass the addresses of running entry VMs with "
                     "--entry IP:PORT\n";
        return;
    }
    if (answer.result == delivery::unknown)
    {
        std::cerr << "outcome unknown: no complete answer was received ("
                  << answer.reason
                  << ")\n  try: repeat the command with the same --key\n";
        return;
    }
    auto const body = body_of(answer);
    if (!body.is_object())
    {
        std::cerr << "refused with status " << answer.status << ": "
                  << answer.body << '\n';
        return;
    }
    auto const outcome = body.value("outcome", "refused");
    std::cerr << (outcome == "not_run" ? "refused, not run" : outcome)
              << " at step " << body.value("step", "?");
    if (body.contains("peer"))
        std::cerr << " (" << body.value("peer", "") << ")";
    std::cerr << ": " << body.value("reason", "") << '\n';
    for (auto const& reason : body.value("reasons", json::array()))
        std::cerr << "  - " << reason.get<std::string>() << '\n';
    if (!body.value("remedy", "").empty())
        std::cerr << "  try: " << body.value("remedy", "") << '\n';
}

/// Prints an answer as JSON if that is requested, otherwise with `print` or as
/// a failure.
/// \returns the exit code.
template <typename Print>
int finish(common_options const& c, http_client_result const& answer,
           Print print)
{
    int const code = exit_code_of(answer);
    bool const answered = answer.result == delivery::answered;
    if (answered && c.json)
        std::cout << answer.body << '\n';
    else if (code != exit_done)
        print_failure(answer);
    else
        print(body_of(answer));
    return code;
}

/// Reads and validates a ticket; prints its diagnostics.
/// \returns exit_done, or the exit code of the failure.
int read_ticket(std::string const& file, std::string& text,
                core::ticket& ticket)
{
    if (!read_file(file, text))
        return exit_usage;
    auto const parsed = protocol::parse_ticket(text, file);
    for (auto const& m : parsed.diagnostics)
        std::cerr << to_line(m) << '\n';
    ticket = parsed.value;
    return parsed ? exit_done : exit_refused;
}

void print_region(std::string const& name, json const& r)
{
    auto const& w = r.at("workers");
    std::cout << "region " << name << ": owner " << r.value("owner", "nobody")
              << ", " << w.value("live", 0) << " live workers, "
              << w.value("lost", 0) << " lost, " << w.value("quarantined", 0)
              << " quarantined, " << w.value("free_accelerators", 0) << " of "
              << w.value("accelerators", 0) << " accelerators free\n";
}

void print_evacuations(json const& b)
{
    for (auto const& e : b.at("evacuated"))
    {
        std::cout << "data center " << e.at("data_center").get<std::string>()
                  << " is EVACUATED: " << e.at("gang_members")
                  << " gang members and " << e.at("seats").size()
                  << " seats remain on " << e.at("workers") << " workers";
        for (auto const& seat : e.at("seats"))
            std::cout << "\n  seat " << seat.get<std::string>();
        std::cout << '\n';
    }
    for (auto const& g : b.at("unmet_guarantees"))
        std::cout << "  UNMET guarantee "
                  << g.at("guarantee").get<std::string>() << " of team "
                  << g.at("team").get<std::string>() << " in "
                  << g.at("region").get<std::string>() << ": "
                  << g.at("reason").get<std::string>() << '\n';
}

int change_evacuation(common_options const& c, std::string const& data_center,
                      bool evacuated)
{
    std::string text;
    try
    {
        text =
            json{{"data_center", data_center}, {"evacuated", evacuated}}.dump();
    }
    catch (json::exception const&)
    {
        std::cerr << "the name of the data center is not valid UTF-8\n";
        return exit_usage;
    }
    entry_client client(c.entries);
    return finish(c, client.send(post("/v1/evacuations", text)),
                  [](json const& b)
                  {
                      std::cout << b.at("reason").get<std::string>() << '\n';
                      print_evacuations(b);
                  });
}

void print_status(json const& s)
{
    std::cout << "node " << s.at("node").get<std::string>() << " in "
              << s.at("region").get<std::string>()
              << (s.at("current").get<bool>()
                      ? ", configuration is current"
                      : ", configuration MAY BE OUTDATED")
              << ", next offset " << s.at("next_offset") << '\n';
    for (auto const& [name, r] : s.at("regions").items())
        print_region(name, r);
    std::cout << "jobs:";
    for (auto const& [state, count] : s.at("jobs").items())
        std::cout << " " << state << " " << count;
    std::cout << '\n';
    // An entry VM of an older version does not tell its evacuations.
    if (s.contains("evacuations"))
        print_evacuations(s.at("evacuations"));
    std::cout << "guaranteed seats: " << s.at("seats")
              << ", broken: " << s.at("broken_guarantees").size() << '\n';
    for (auto const& b : s.at("broken_guarantees"))
        std::cout << "  BROKEN guarantee "
                  << b.at("guarantee").get<std::string>() << " of team "
                  << b.at("team").get<std::string>() << " in "
                  << b.at("region").get<std::string>() << '\n';
}

} // namespace

int submit(common_options const& c, submit_options const& o)
{
    entry_client client(c.entries);
    json const body{{"team", o.team},
                    {"job_class", o.job_class},
                    {"key", o.key.empty() ? new_key() : o.key},
                    {"payload", o.payload}};
    std::string text;
    try
    {
        text = body.dump();
    }
    catch (json::exception const&)
    {
        std::cerr
            << "the payload is not valid UTF-8 (encode it, for example as "
               "base64)\n";
        return exit_usage;
    }
    return finish(c, client.send(post("/v1/jobs", text)),
                  [](json const& b)
                  { std::cout << b.at("job").get<std::string>() << '\n'; });
}

int call(common_options const& c, call_options const& o)
{
    auto request = post("/v1/services/" + o.service + "/calls", "");
    if (!read_file(o.file, request.body))
        return exit_usage;
    request.content_type = "application/octet-stream";
    request.headers["X-Team"] = o.team;
    request.headers["X-Request-Key"] = o.key.empty() ? new_key() : o.key;
    if (o.deadline_ms > 0)
        request.headers["X-Deadline-Ms"] = std::to_string(o.deadline_ms);
    request.timeout_ms = call_timeout_ms;
    entry_client client(c.entries);
    auto const answer = client.send(request);
    if (exit_code_of(answer) == exit_done)
    {
        std::cout << answer.body << '\n';
        return exit_done;
    }
    print_failure(answer);
    return exit_code_of(answer);
}

int status(common_options const& c)
{
    entry_client client(c.entries);
    return finish(c, client.send(get("/v1/status")), print_status);
}

int evacuate(common_options const& c, std::string const& data_center)
{
    return change_evacuation(c, data_center, true);
}

int restore(common_options const& c, std::string const& data_center)
{
    return change_evacuation(c, data_center, false);
}

int jobs(common_options const& c, std::string const& team)
{
    entry_client client(c.entries);
    auto const path = team.empty() ? "/v1/jobs" : "/v1/jobs?team=" + team;
    return finish(c, client.send(get(path)),
                  [](json const& b)
                  {
                      for (auto const& j : b.at("jobs"))
                          std::cout << j.at("job").get<std::string>() << "\t"
                                    << j.at("team").get<std::string>() << "\t"
                                    << j.at("job_class").get<std::string>()
                                    << "\t" << j.at("state").get<std::string>()
                                    << '\n';
                  });
}

int cancel(common_options const& c, std::string const& job)
{
    entry_client client(c.entries);
    return finish(c, client.send(post("/v1/jobs/" + job + "/cancel", "{}")),
                  [&](json const& b)
                  {
                      std::cout << job << " " << b.value("state", "") << " "
                                << b.value("end", "") << '\n';
                  });
}

int result(common_options const& c, std::string const& job,
           std::int64_t wait_ms)
{
    entry_client client(c.entries);
    auto request =
        get("/v1/jobs/" + job + "?wait_ms=" + std::to_string(wait_ms));
    request.timeout_ms = wait_ms + request_timeout_ms;
    auto const answer = client.send(request);
    std::string state;
    std::string end;
    int const code =
        finish(c, answer,
               [&](json const& b)
               {
                   state = b.at("state");
                   end = b.at("end");
                   std::cout << (end == "done" ? b.value("detail", "")
                                               : b.value("explanation", ""))
                             << '\n';
               });
    if (code != exit_done || c.json)
        return code;
    if (state != "ended" || end == "unknown")
        return exit_unknown;
    return end == "done" ? exit_done : exit_refused;
}

int explain(common_options const& c, std::string const& job)
{
    entry_client client(c.entries);
    return finish(c, client.send(get("/v1/jobs/" + job)),
                  [&](json const& b) {
                      std::cout << job << " "
                                << b.at("explanation").get<std::string>()
                                << '\n';
                  });
}

int ticket_check(common_options const& c, std::string const& file)
{
    std::string text;
    core::ticket ticket;
    if (int const code = read_ticket(file, text, ticket); code != exit_done)
        return code;
    if (c.json)
        std::cout << json{{"number", ticket.number}, {"ok", true}} << '\n';
    else
        std::cout << "ticket " << ticket.number << " is valid and has "
                  << ticket.objects.size() << " objects\n";
    return exit_done;
}

int ticket_apply(common_options const& c, std::string const& file)
{
    std::string text;
    core::ticket ticket;
    if (int const code = read_ticket(file, text, ticket); code != exit_done)
        return code;
    entry_client client(c.entries);
    auto request = post("/v1/tickets", text);
    request.content_type = "application/yaml";
    return finish(c, client.send(request),
                  [](json const& b)
                  { std::cout << b.value("reason", "") << '\n'; });
}

int ticket_show(common_options const& c)
{
    entry_client client(c.entries);
    return finish(c, client.send(get("/v1/tickets")),
                  [](json const& b)
                  {
                      if (!b.at("current").get<bool>())
                          std::cout
                              << "WARNING: the configuration of this entry VM "
                                 "may be outdated; newer tickets may be "
                                 "in force\n";
                      for (auto const& [key, v] : b.at("in_force").items())
                          std::cout << key << "\tticket " << v.at("number")
                                    << "\toffset " << v.at("offset") << '\n';
                      for (auto const& v : b.at("verdicts"))
                          if (!v.at("accepted").get<bool>())
                              std::cout
                                  << "refused: ticket " << v.at("number")
                                  << " of " << v.at("author").get<std::string>()
                                  << " at offset " << v.at("offset") << ": "
                                  << v.at("reasons").dump() << '\n';
                  });
}

int timeline(common_options const& c, std::string const& html)
{
    entry_client client(c.entries);
    std::vector<json> answers;
    for (auto const& entry : c.entries)
    {
        auto const answer = client.send_to(entry, get("/v1/timeline"));
        if (answer.result == delivery::answered)
            answers.push_back(body_of(answer));
        else
            std::cerr << "no time line from " << entry << ": " << answer.reason
                      << '\n';
    }
    if (answers.empty())
        return exit_unreachable;
    auto const events = merge_timelines(answers);
    if (html.empty())
    {
        std::cout << to_text(events);
        return exit_done;
    }
    std::ofstream(html) << to_html(events);
    std::cout << html << '\n';
    return exit_done;
}

} // namespace jasminetrack::cli
