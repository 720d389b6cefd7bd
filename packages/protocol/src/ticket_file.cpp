#include <jasminetrack/protocol/ticket_file.hpp>

#include <jasminetrack/protocol/json_types.hpp>

#include <set>

namespace jasminetrack::protocol
{
namespace
{

constexpr std::int64_t max_members = 128;
constexpr std::int64_t max_accelerators = 64;
constexpr std::int64_t max_millicores = 1'000'000;
constexpr std::int64_t max_count = 10'000;
constexpr std::int64_t max_weight = 1000;
constexpr std::int64_t bytes_per_mb = 1024 * 1024;

core::shape read_shape(yaml_reader& in)
{
    core::shape s;
    s.members = static_cast<int>(in.integer("members", 1, 1, max_members));
    s.accelerators =
        static_cast<int>(in.integer("accelerators", 0, 0, max_accelerators));
    s.millicores =
        static_cast<int>(in.integer("millicores", 0, 0, max_millicores));
    s.memory_mb = static_cast<int>(in.size("memory", 0) / bytes_per_mb);
    s.adjacent = static_cast<core::adjacency>(
        in.choice("adjacent", {"none", "rack", "worker"}, 0));
    return s;
}

core::team read_team(yaml_reader in)
{
    core::team t;
    t.name = in.required_name("name");
    t.weight = static_cast<int>(in.integer("weight", 1, 1, max_weight));
    t.spare_accelerators =
        static_cast<int>(in.integer("spare_accelerators", 0, 0, 1'000'000));
    for (auto& g : in.list("guarantees"))
    {
        core::guarantee wanted;
        wanted.region = g.required_name("region");
        wanted.wanted = read_shape(g);
        wanted.count = static_cast<int>(g.integer("count", 1, 1, max_count));
        if (wanted.wanted.accelerators < 1)
            g.add_diagnostic("accelerators", "a guarantee needs accelerators",
                             "write 'accelerators: 1' or more");
        g.check_unknown_keys();
        t.guarantees.push_back(std::move(wanted));
    }
    in.check_unknown_keys();
    return t;
}

core::service read_service(yaml_reader in)
{
    core::service s;
    s.name = in.required_name("name");
    s.team = in.required_name("team");
    s.idempotent = in.boolean("idempotent", true);
    s.deadline_ms = in.duration("deadline", s.deadline_ms);
    s.path = in.text("path", "/" + s.name);
    if (s.path.empty() || s.path.front() != '/')
        in.add_diagnostic("path", "must start with '/'",
                          "write '/" + s.path + "'");
    in.check_unknown_keys();
    return s;
}

core::job_class read_job_class(yaml_reader in)
{
    core::job_class c;
    c.name = in.required_name("name");
    c.team = in.required_name("team");
    c.region = in.required_name("region");
    c.gang = read_shape(in);
    c.draws_on = static_cast<core::capacity_source>(
        in.choice("draws_on", {"spare", "guarantee"}, 0));
    c.idempotent = in.boolean("idempotent", true);
    in.check_unknown_keys();
    return c;
}

core::removal read_removal(std::string const& text, yaml_reader& in)
{
    auto const slash = text.find('/');
    core::removal r{text.substr(0, slash),
                    slash == std::string::npos ? "" : text.substr(slash + 1)};
    bool const known =
        r.kind == "team" || r.kind == "service" || r.kind == "job_class";
    if (!known || r.name.empty())
        in.add_diagnostic("remove", "'" + text + "' names no object",
                          "write team/NAME, service/NAME or job_class/NAME");
    return r;
}

void reject_duplicates(core::ticket const& t, yaml_reader& in)
{
    std::set<std::string> seen;
    for (auto const& object : t.objects)
    {
        auto const key = core::object_key(object);
        if (!seen.insert(key).second)
            in.add_diagnostic("", key + " stands twice in this ticket",
                              "keep its whole new state once");
    }
}

} // namespace

parse_result<core::ticket> parse_ticket(std::string const& text,
                                        std::string const& file)
{
    parse_result<core::ticket> result;
    yaml_reader in(text, file, result.diagnostics);
    if (!result.diagnostics.empty())
        return result;
    auto& t = result.value;
    t.number = static_cast<core::ticket_number>(
        in.required_integer("number", 1, 1'000'000'000));
    t.author = in.required_text("author");
    t.reason = in.required_text("reason");
    for (auto& item : in.list("teams"))
        t.objects.push_back(read_team(std::move(item)));
    for (auto& item : in.list("services"))
        t.objects.push_back(read_service(std::move(item)));
    for (auto& item : in.list("job_classes"))
        t.objects.push_back(read_job_class(std::move(item)));
    for (auto const& name : in.text_list("remove"))
        t.objects.push_back(read_removal(name, in));
    if (t.objects.empty())
        in.add_diagnostic("", "the ticket touches nothing",
                          "add teams, services, job_classes or remove");
    reject_duplicates(t, in);
    in.check_unknown_keys();
    return result;
}

std::string to_json_text(core::configuration const& config)
{
    return nlohmann::json(config).dump();
}

} // namespace jasminetrack::protocol
