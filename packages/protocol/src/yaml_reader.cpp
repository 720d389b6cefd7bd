#include <jasminetrack/protocol/yaml_reader.hpp>

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>

namespace jasminetrack::protocol
{

namespace detail
{

struct yaml_tree
{
    YAML::Node node;
    std::string file;
    std::string path; ///< of this mapping, ends with '.' unless it is empty
    std::vector<diagnostic>* diagnostics = nullptr;
    std::set<std::string> requested_keys;
};

} // namespace detail

namespace
{

struct unit
{
    char const* name;
    std::int64_t factor;
};

constexpr unit time_units[] = {
    {"ms", 1}, {"s", 1000}, {"min", 60'000}, {"h", 3'600'000}};
constexpr unit size_units[] = {
    {"KB", 1024}, {"MB", 1024 * 1024}, {"GB", 1024LL * 1024 * 1024}};

/// \returns the amount in base units, or -1 when it does not parse.
template <std::size_t N>
std::int64_t parse_amount(std::string const& text, unit const (&units)[N])
{
    std::int64_t number = 0;
    char const* const end = text.data() + text.size();
    auto const [rest, code] = std::from_chars(text.data(), end, number);
    if (code != std::errc{} || number < 0)
        return -1;
    std::string const name(rest, end);
    for (auto const& u : units)
        if (name == u.name)
            return number * u.factor;
    return -1;
}

bool parse_integer(std::string const& text, std::int64_t& value)
{
    char const* const end = text.data() + text.size();
    auto const [rest, code] = std::from_chars(text.data(), end, value);
    return code == std::errc{} && rest == end;
}

bool is_name(std::string const& text)
{
    constexpr std::size_t max_length = 63;
    return !text.empty() && text.size() <= max_length &&
           std::all_of(text.begin(), text.end(),
                       [](unsigned char c)
                       {
                           return (c >= 'a' && c <= 'z') ||
                                  (c >= '0' && c <= '9') || c == '-' ||
                                  c == '_';
                       });
}

bool is_address(std::string const& text)
{
    int parts[5] = {};
    std::size_t at = 0;
    for (int i = 0; i < 5; ++i)
    {
        auto const end = text.find(i < 3 ? '.' : ':', at);
        auto const stop = i == 4 ? text.size() : end;
        if (stop == std::string::npos || stop == at)
            return false;
        std::int64_t value = 0;
        if (!parse_integer(text.substr(at, stop - at), value) || value < 0 ||
            value > (i == 4 ? 65535 : 255))
            return false;
        parts[i] = static_cast<int>(value);
        at = stop + 1;
    }
    return parts[4] > 0;
}

} // namespace

std::string to_line(diagnostic const& m)
{
    return m.at.file + ":" + std::to_string(m.at.line) + ":" +
           std::to_string(m.at.column) + ": " + m.key + ": " + m.reason + " (" +
           m.remedy + ")";
}

yaml_reader::yaml_reader(std::unique_ptr<detail::yaml_tree> tree)
    : tree_(std::move(tree))
{
}

yaml_reader::~yaml_reader() = default;
yaml_reader::yaml_reader(yaml_reader&&) noexcept = default;

yaml_reader::yaml_reader(std::string const& text, std::string file,
                         std::vector<diagnostic>& diagnostics)
    : tree_(std::make_unique<detail::yaml_tree>())
{
    tree_->file = std::move(file);
    tree_->diagnostics = &diagnostics;
    try
    {
        tree_->node = YAML::Load(text);
    }
    catch (YAML::ParserException const& e)
    {
        diagnostics.push_back(
            {{tree_->file, e.mark.line + 1, e.mark.column + 1},
             "YAML",
             e.msg,
             "correct the indentation or the quotes at this line"});
        return;
    }
    if (!tree_->node.IsMap())
        add_diagnostic("", "the file must hold a mapping",
                       "start with 'key: value'");
}

bool yaml_reader::has(std::string const& key) const
{
    return tree_->node.IsMap() && tree_->node[key].IsDefined() &&
           !tree_->node[key].IsNull();
}

void yaml_reader::add_diagnostic(std::string const& key, std::string reason,
                                 std::string remedy)
{
    auto mark = tree_->node.Mark();
    if (!key.empty() && has(key))
        mark = tree_->node[key].Mark();
    tree_->diagnostics->push_back(
        {{tree_->file, mark.line + 1, mark.column + 1},
         tree_->path + key,
         std::move(reason),
         std::move(remedy)});
}

bool yaml_reader::scalar(std::string const& key, std::string& value)
{
    tree_->requested_keys.insert(key);
    if (!has(key))
        return false;
    auto const node = tree_->node[key];
    if (!node.IsScalar())
    {
        add_diagnostic(key, "must be a single value",
                       "write '" + key + ": value'");
        return false;
    }
    value = node.Scalar();
    return true;
}

std::string yaml_reader::text(std::string const& key, std::string fallback)
{
    std::string value;
    return scalar(key, value) ? value : fallback;
}

std::string yaml_reader::required_text(std::string const& key)
{
    std::string value;
    if (!scalar(key, value) || value.empty())
        add_diagnostic(key, "is missing", "add '" + key + ": ...'");
    return value;
}

std::string yaml_reader::required_name(std::string const& key)
{
    auto const value = required_text(key);
    if (!value.empty() && !is_name(value))
        add_diagnostic(key, "'" + value + "' is not a name",
                       "use 1 to 63 lower-case letters, digits, '-' or '_'");
    return value;
}

std::int64_t yaml_reader::integer(std::string const& key, std::int64_t fallback,
                                  std::int64_t minimum, std::int64_t maximum)
{
    std::string text;
    if (!scalar(key, text))
        return fallback;
    std::int64_t value = 0;
    if (parse_integer(text, value) && value >= minimum && value <= maximum)
        return value;
    add_diagnostic(key, "'" + text + "' is not a whole number in range",
                   "write a number from " + std::to_string(minimum) + " to " +
                       std::to_string(maximum) + " without a unit");
    return fallback;
}

std::int64_t yaml_reader::required_integer(std::string const& key,
                                           std::int64_t minimum,
                                           std::int64_t maximum)
{
    if (!has(key))
        add_diagnostic(key, "is missing", "add '" + key + ": NUMBER'");
    return integer(key, minimum, minimum, maximum);
}

double yaml_reader::number(std::string const& key, double fallback,
                           double minimum, double maximum)
{
    std::string text;
    if (!scalar(key, text))
        return fallback;
    char* end = nullptr;
    double const value = std::strtod(text.c_str(), &end);
    if (!text.empty() && *end == 0 && value >= minimum && value <= maximum)
        return value;
    add_diagnostic(key, "'" + text + "' is not a number in range",
                   "write a number from " + std::to_string(minimum) + " to " +
                       std::to_string(maximum));
    return fallback;
}

bool yaml_reader::boolean(std::string const& key, bool fallback)
{
    return choice(key, {"false", "true"}, fallback ? 1 : 0) == 1;
}

std::int64_t yaml_reader::duration(std::string const& key,
                                   std::int64_t fallback)
{
    std::string text;
    if (!scalar(key, text))
        return fallback;
    auto const value = parse_amount(text, time_units);
    if (value >= 0)
        return value;
    add_diagnostic(
        key, "'" + text + "' is not a time",
        "write a number with its unit, such as 500ms, 5s, 10min or 2h");
    return fallback;
}

std::int64_t yaml_reader::size(std::string const& key, std::int64_t fallback)
{
    std::string text;
    if (!scalar(key, text))
        return fallback;
    auto const value = parse_amount(text, size_units);
    if (value >= 0)
        return value;
    add_diagnostic(key, "'" + text + "' is not a size",
                   "write a number with its unit, such as 64KB, 512MB or 4GB");
    return fallback;
}

std::string yaml_reader::required_address(std::string const& key)
{
    auto const value = required_text(key);
    if (!value.empty() && !is_address(value))
        add_diagnostic(key, "'" + value + "' is not an address",
                       "write an IP number and a port, such as 10.0.0.7:8100");
    return value;
}

std::size_t yaml_reader::choice(std::string const& key,
                                std::vector<std::string> const& names,
                                std::size_t fallback)
{
    std::string text;
    if (!scalar(key, text))
        return fallback;
    std::string all;
    for (std::size_t i = 0; i < names.size(); ++i)
    {
        if (names[i] == text)
            return i;
        all += (i == 0 ? "" : ", ") + names[i];
    }
    add_diagnostic(key, "'" + text + "' is not known", "write one of: " + all);
    return fallback;
}

std::vector<std::string> yaml_reader::text_list(std::string const& key)
{
    std::vector<std::string> values;
    tree_->requested_keys.insert(key);
    if (!has(key))
        return values;
    auto const node = tree_->node[key];
    if (!node.IsSequence())
    {
        add_diagnostic(key, "must be a list",
                       "write '- item' on lines of their own");
        return values;
    }
    for (auto const& item : node)
        values.push_back(item.IsScalar() ? item.Scalar() : "");
    return values;
}

std::vector<yaml_reader> yaml_reader::list(std::string const& key)
{
    std::vector<yaml_reader> items;
    tree_->requested_keys.insert(key);
    if (!has(key))
        return items;
    auto const node = tree_->node[key];
    if (!node.IsSequence())
    {
        add_diagnostic(key, "must be a list",
                       "write '- ...' on lines of their own");
        return items;
    }
    for (std::size_t i = 0; i < node.size(); ++i)
    {
        auto tree = std::make_unique<detail::yaml_tree>();
        tree->node = node[i];
        tree->file = tree_->file;
        tree->path = tree_->path + key + "[" + std::to_string(i) + "].";
        tree->diagnostics = tree_->diagnostics;
        items.push_back(yaml_reader(std::move(tree)));
        if (!node[i].IsMap())
            items.back().add_diagnostic("", "must be a mapping",
                                        "write '- key: value'");
    }
    return items;
}

yaml_reader yaml_reader::child(std::string const& key)
{
    tree_->requested_keys.insert(key);
    auto tree = std::make_unique<detail::yaml_tree>();
    tree->file = tree_->file;
    tree->path = tree_->path + key + ".";
    tree->diagnostics = tree_->diagnostics;
    if (has(key))
        tree->node = tree_->node[key];
    else
        tree->node = YAML::Node(YAML::NodeType::Map);
    if (!tree->node.IsMap())
        add_diagnostic(key, "must be a mapping", "write 'key: value' below it");
    return yaml_reader(std::move(tree));
}

void yaml_reader::check_unknown_keys()
{
    if (!tree_->node.IsMap())
        return;
    std::set<std::string> seen;
    for (auto const& entry : tree_->node)
    {
        auto const key = entry.first.Scalar();
        auto const mark = entry.first.Mark();
        core::source_position const at{tree_->file, mark.line + 1,
                                       mark.column + 1};
        if (!seen.insert(key).second)
            tree_->diagnostics->push_back(
                {at, tree_->path + key, "is given twice", "keep one of them"});
        if (tree_->requested_keys.count(key) != 0)
            continue;
        std::string known;
        for (auto const& name : tree_->requested_keys)
            known += (known.empty() ? "" : ", ") + name;
        tree_->diagnostics->push_back({at, tree_->path + key,
                                       "is not a known key",
                                       "known here: " + known});
    }
}

} // namespace jasminetrack::protocol
