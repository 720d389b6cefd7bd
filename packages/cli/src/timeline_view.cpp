#include "timeline_view.hpp"

#include <algorithm>
#include <ctime>
#include <map>
#include <tuple>

namespace jasminetrack::cli
{
namespace
{

merged_event event_from(nlohmann::json const& j)
{
    merged_event e;
    e.ms = j.at("ms");
    e.step = j.at("step");
    e.offset = j.at("offset");
    e.kind = j.at("kind");
    e.key = j.at("key");
    e.text = j.at("text");
    e.nodes.push_back(j.at("node"));
    return e;
}

bool happened_before(merged_event const& a, merged_event const& b)
{
    return std::tie(a.ms, a.step, a.offset) < std::tie(b.ms, b.step, b.offset);
}

/// Sorts the events so that those of a log record never precede those of an
/// earlier record. A record's time is raised to that of the records before it.
void follow_log_order(std::vector<merged_event>& events)
{
    std::map<std::int64_t, std::pair<std::int64_t, std::uint32_t>> times;
    for (auto const& e : events)
        if (e.offset >= 0)
            times.try_emplace(e.offset, e.ms, e.step);
    std::pair<std::int64_t, std::uint32_t> latest{0, 0};
    for (auto& [offset, at] : times)
    {
        latest = std::max(latest, at);
        at = latest;
    }
    for (auto& e : events)
        if (e.offset >= 0)
            std::tie(e.ms, e.step) = times.at(e.offset);
    std::stable_sort(events.begin(), events.end(), happened_before);
}

std::string clock_text(std::int64_t ms)
{
    constexpr std::int64_t per_second = 1000;
    std::time_t const seconds = ms / per_second;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[32];
    std::snprintf(text, sizeof text, "%02d:%02d:%02d.%03d", parts.tm_hour,
                  parts.tm_min, parts.tm_sec,
                  static_cast<int>(ms % per_second));
    return text;
}

std::string escaped(std::string const& text)
{
    std::string out;
    for (char c : text)
        switch (c)
        {
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '&':
            out += "&amp;";
            break;
        default:
            out += c;
        }
    return out;
}

std::string offset_text(merged_event const& e)
{
    return e.offset < 0 ? "-" : "@" + std::to_string(e.offset);
}

} // namespace

std::vector<merged_event>
merge_timelines(std::vector<nlohmann::json> const& answers)
{
    std::vector<merged_event> all;
    for (auto const& answer : answers)
        for (auto const& j : answer.at("events"))
            all.push_back(event_from(j));
    std::stable_sort(all.begin(), all.end(), happened_before);
    std::vector<merged_event> merged;
    std::map<std::tuple<std::int64_t, std::string, std::string, std::string>,
             std::size_t>
        seen;
    for (auto& e : all)
    {
        auto const id = std::tuple(e.offset, e.kind, e.key, e.text);
        auto const found = e.offset < 0 ? seen.end() : seen.find(id);
        if (found != seen.end())
        {
            merged[found->second].nodes.push_back(e.nodes.front());
            continue;
        }
        if (e.offset >= 0)
            seen[id] = merged.size();
        merged.push_back(std::move(e));
    }
    follow_log_order(merged);
    return merged;
}

std::string to_text(std::vector<merged_event> const& events)
{
    std::string out;
    for (auto const& e : events)
        out += clock_text(e.ms) + "  " + offset_text(e) + "\t" + e.kind + "\t" +
               e.key + "\t" + e.text + "  [" + e.nodes.front() +
               (e.nodes.size() > 1 ? " +" + std::to_string(e.nodes.size() - 1)
                                   : "") +
               "]\n";
    return out;
}

std::string to_html(std::vector<merged_event> const& events)
{
    std::string out =
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">"
        "<title>jasminetrack time line</title><style>"
        "body{font:14px sans-serif;margin:2em}"
        "table{border-collapse:collapse}"
        "td,th{padding:.2em .8em;text-align:left;"
        "border-bottom:1px solid #ddd}"
        ".job{background:#eef6ff}.ticket{background:#fff6e0}"
        ".claim{background:#f3eaff}.seat{background:#ffe8e8}"
        "</style><h1>Time line</h1><table><tr><th>Time (UTC)<th>Offset"
        "<th>Kind<th>Subject<th>Event<th>First reported by</tr>\n";
    for (auto const& e : events)
        out += "<tr class=\"" + escaped(e.kind) + "\"><td>" + clock_text(e.ms) +
               "<td>" + offset_text(e) + "<td>" + escaped(e.kind) + "<td>" +
               escaped(e.key) + "<td>" + escaped(e.text) + "<td>" +
               escaped(e.nodes.front()) + "</tr>\n";
    return out + "</table></html>\n";
}

} // namespace jasminetrack::cli
