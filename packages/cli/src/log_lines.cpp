#include "log_lines.hpp"

#include <algorithm>
#include <charconv>
#include <istream>
#include <optional>
#include <string_view>

namespace jasminetrack::cli
{
namespace
{

constexpr std::int64_t us_per_second = 1'000'000;
constexpr std::size_t time_length = 27; // 2026-12-04T08:00:00.000000Z

std::int64_t to_number(std::string_view text)
{
    std::int64_t n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

std::int64_t time_of_day_us(std::string_view time)
{
    constexpr std::size_t hour_at = 11;
    constexpr std::size_t minute_at = 14;
    constexpr std::size_t second_at = 17;
    constexpr std::size_t fraction_at = 20;
    auto const seconds = to_number(time.substr(hour_at, 2)) * 3'600 +
                         to_number(time.substr(minute_at, 2)) * 60 +
                         to_number(time.substr(second_at, 2));
    return seconds * us_per_second + to_number(time.substr(fraction_at, 6));
}

/// \returns where a line's time begins, if it has one.
std::optional<std::size_t> find_time(std::string const& line)
{
    auto const level = line.find(" level=");
    if (level == std::string::npos || level < time_length ||
        line[level - 1] != 'Z')
        return std::nullopt;
    return level - time_length;
}

/// Reads "key=value" and key="value with spaces" from `at` on.
void read_fields(std::string const& line, std::size_t at, log_line& out)
{
    while (at < line.size())
    {
        at = line.find_first_not_of(' ', at);
        auto const equals = at == std::string::npos ? at : line.find('=', at);
        if (equals == std::string::npos)
            return;
        auto const key = line.substr(at, equals - at);
        auto begin = equals + 1;
        bool const quoted = begin < line.size() && line[begin] == '"';
        begin += quoted ? 1 : 0;
        auto const end =
            std::min(line.find(quoted ? '"' : ' ', begin), line.size());
        out.fields[key] = line.substr(begin, end - begin);
        at = end + 1;
    }
}

} // namespace

std::string const& log_line::field(std::string const& key) const
{
    static std::string const none;
    auto const at = fields.find(key);
    return at == fields.end() ? none : at->second;
}

std::int64_t log_line::number(std::string const& key) const
{
    return to_number(field(key));
}

std::vector<log_line> read_log(std::istream& in)
{
    std::vector<log_line> lines;
    for (std::string text; std::getline(in, text);)
    {
        auto const time = find_time(text);
        auto const step = text.find(" step=");
        if (!time || step == std::string::npos)
            continue;
        log_line l;
        l.time = text.substr(*time, time_length);
        l.time_us = time_of_day_us(l.time);
        read_fields(text.substr(0, step), *time + time_length, l);
        l.node = l.field("node");
        l.fields.clear();
        auto const rest = text.find(' ', step + 1);
        l.step = text.substr(step + 6, rest - step - 6);
        if (rest != std::string::npos)
            read_fields(text, rest, l);
        lines.push_back(std::move(l));
    }
    std::stable_sort(lines.begin(), lines.end(),
                     [](log_line const& a, log_line const& b)
                     { return a.time < b.time; });
    return lines;
}

} // namespace jasminetrack::cli
