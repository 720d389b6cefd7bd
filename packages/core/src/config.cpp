#include <jasminetrack/core/config.hpp>
#include <jasminetrack/core/outcome.hpp>

namespace jasminetrack::core
{
namespace
{

constexpr int max_members = 128;
constexpr int max_accelerators = 64;

void check_shape(shape const& s, std::string const& where,
                 std::vector<std::string>& mistakes)
{
    if (s.members < 1 || s.members > max_members)
        mistakes.push_back(where + ".members must be 1 to 128");
    if (s.accelerators < 0 || s.accelerators > max_accelerators)
        mistakes.push_back(where + ".accelerators must be 0 to 64");
    if (s.millicores < 0)
        mistakes.push_back(where + ".millicores must not be negative");
    if (s.memory_mb < 0)
        mistakes.push_back(where + ".memory_mb must not be negative");
    if (s.adjacent == adjacency::worker &&
        total_accelerators(s) > max_accelerators)
        mistakes.push_back(where +
                           ": a gang on one worker has 64 accelerators at "
                           "most; use adjacent: rack");
}

void check_team(team const& t, std::vector<std::string>& mistakes)
{
    std::string const where = "team/" + t.name;
    if (t.weight < 1)
        mistakes.push_back(where + ".weight must be 1 or more");
    if (t.spare_accelerators < 0)
        mistakes.push_back(where + ".spare_accelerators must not be negative");
    for (std::size_t i = 0; i < t.guarantees.size(); ++i)
    {
        auto const& g = t.guarantees[i];
        auto const at = where + ".guarantees[" + std::to_string(i) + "]";
        check_shape(g.wanted, at, mistakes);
        if (g.wanted.accelerators < 1)
            mistakes.push_back(at + ".accelerators must be 1 or more");
        if (g.count < 1)
            mistakes.push_back(at + ".count must be 1 or more");
        if (g.region.empty())
            mistakes.push_back(at + ".region is missing");
    }
}

void check_owner(configuration const& config, std::string const& where,
                 std::string const& name, std::vector<std::string>& mistakes)
{
    if (config.teams.count(name) == 0)
        mistakes.push_back(where + ".team: there is no team '" + name +
                           "'; declare it or correct the name");
}

void check_draw(configuration const& config, job_class const& c,
                std::vector<std::string>& mistakes)
{
    auto const found = config.teams.find(c.team);
    if (c.draws_on != capacity_source::guarantee || found == config.teams.end())
        return;
    for (auto const& g : found->second.guarantees)
        if (g.region == c.region && covers(g.wanted, c.gang))
            return;
    mistakes.push_back("job_class/" + c.name + ".draws_on: team '" + c.team +
                       "' has no guarantee in region '" + c.region +
                       "' that holds this gang; use draws_on: spare or "
                       "raise the guarantee");
}

} // namespace

bool covers(shape const& seat, shape const& gang) noexcept
{
    if (gang.adjacent > seat.adjacent)
        return false;
    if (seat.adjacent == adjacency::worker)
        return total_accelerators(gang) <= total_accelerators(seat);
    return gang.accelerators <= seat.accelerators &&
           gang.members <= seat.members;
}

std::string to_line(error const& e)
{
    std::string line = e.step + " at " + e.peer + ": " + e.reason;
    if (!e.remedy.empty())
        line += " (" + e.remedy + ")";
    return line;
}

std::string object_key(config_object const& object)
{
    struct visitor
    {
        std::string operator()(team const& o) const
        {
            return "team/" + o.name;
        }
        std::string operator()(service const& o) const
        {
            return "service/" + o.name;
        }
        std::string operator()(job_class const& o) const
        {
            return "job_class/" + o.name;
        }
        std::string operator()(removal const& o) const
        {
            return o.kind + "/" + o.name;
        }
    };
    return std::visit(visitor{}, object);
}

void apply_object(configuration& config, config_object const& object)
{
    struct visitor
    {
        configuration& config;
        void operator()(team const& o) const
        {
            config.teams[o.name] = o;
        }
        void operator()(service const& o) const
        {
            config.services[o.name] = o;
        }
        void operator()(job_class const& o) const
        {
            config.job_classes[o.name] = o;
        }
        void operator()(removal const& o) const
        {
            if (o.kind == "team")
                config.teams.erase(o.name);
            else if (o.kind == "service")
                config.services.erase(o.name);
            else
                config.job_classes.erase(o.name);
        }
    };
    std::visit(visitor{config}, object);
}

std::vector<std::string> find_configuration_errors(configuration const& config)
{
    std::vector<std::string> mistakes;
    for (auto const& [name, t] : config.teams)
        check_team(t, mistakes);
    for (auto const& [name, s] : config.services)
    {
        check_owner(config, "service/" + name, s.team, mistakes);
        if (s.deadline_ms < 1)
            mistakes.push_back("service/" + name +
                               ".deadline_ms must be 1 or more");
    }
    for (auto const& [name, c] : config.job_classes)
    {
        check_owner(config, "job_class/" + name, c.team, mistakes);
        check_shape(c.gang, "job_class/" + name, mistakes);
        if (c.region.empty())
            mistakes.push_back("job_class/" + name + ".region is missing");
        check_draw(config, c, mistakes);
    }
    return mistakes;
}

} // namespace jasminetrack::core
