#pragma once
/// \file
/// What operators declare: teams, services, job classes and the tickets that
/// carry them. All are immutable values once parsed.

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace jasminetrack::core
{

using ticket_number = std::uint64_t;
using log_offset = std::uint64_t;
using milliseconds = std::int64_t;

/// How close the members of a gang must stand.
enum class adjacency : std::uint8_t
{
    none,   ///< anywhere in the region
    rack,   ///< all members within one rack
    worker, ///< all members on one worker, accelerators in one run
};

/// What a gang occupies. A member without accelerators is a plain task.
struct shape
{
    int members = 1;      ///< tasks that start together, 1..128
    int accelerators = 0; ///< per member, consecutive on one worker, 0..64
    int millicores = 0;   ///< processor share per member, 1/1000 core
    int memory_mb = 0;    ///< memory per member, MB
    adjacency adjacent = adjacency::none;

    friend auto operator<=>(shape const&, shape const&) = default;
};

/// \returns accelerators over all members.
[[nodiscard]] constexpr int total_accelerators(shape const& s) noexcept
{
    return s.members * s.accelerators;
}

/// \returns whether a gang of shape `gang` fits into a free seat of `seat`.
[[nodiscard]] bool covers(shape const& seat, shape const& gang) noexcept;

/// `count` shapes that a team can reclaim at once in a region.
struct guarantee
{
    std::string region;
    shape wanted;
    int count = 1;

    friend bool operator==(guarantee const&, guarantee const&) = default;
};

/// A team with its guarantees and its limits beyond them.
struct team
{
    std::string name;
    int weight = 1;             ///< share of what lies beyond guarantees
    int spare_accelerators = 0; ///< most held beyond guarantees; 0: no limit
    std::vector<guarantee> guarantees;

    friend bool operator==(team const&, team const&) = default;
};

/// A request service that targets of a region (or of all) answer.
struct service
{
    std::string name;
    std::string team;
    bool idempotent = true;
    milliseconds deadline_ms = 5000; ///< longest time a call may take
    std::string path = "/";          ///< where targets take the calls

    friend bool operator==(service const&, service const&) = default;
};

/// What a job class takes its accelerators from.
enum class capacity_source : std::uint8_t
{
    spare,     ///< beyond guarantees; may be stopped at any time
    guarantee, ///< the team's guarantee; never stopped for others
};

/// A class of gang jobs.
struct job_class
{
    std::string name;
    std::string team;
    std::string region;
    shape gang;
    capacity_source draws_on = capacity_source::spare;
    bool idempotent = true; ///< may run again after a loss

    friend bool operator==(job_class const&, job_class const&) = default;
};

/// One object of a ticket: its whole new state, or its removal.
struct removal
{
    std::string kind; ///< team, service or job_class
    std::string name;

    friend bool operator==(removal const&, removal const&) = default;
};

using config_object = std::variant<team, service, job_class, removal>;

/// A numbered change. Every object it names is replaced as a whole.
struct ticket
{
    ticket_number number = 0;
    std::string author;
    std::string reason;
    std::vector<config_object> objects;

    friend bool operator==(ticket const&, ticket const&) = default;
};

/// The configuration in force.
struct configuration
{
    std::map<std::string, team> teams;
    std::map<std::string, service> services;
    std::map<std::string, job_class> job_classes;

    friend bool operator==(configuration const&,
                           configuration const&) = default;
};

/// \returns "kind/name", the key under which ticket numbers are kept.
[[nodiscard]] std::string object_key(config_object const& object);

/// Puts one object into the configuration, or takes it out.
void apply_object(configuration& config, config_object const& object);

/// Checks that hold without knowing the workers: references, ranges, shapes.
/// \returns one line for each mistake; empty when there is none.
[[nodiscard]] std::vector<std::string>
find_configuration_errors(configuration const& config);

} // namespace jasminetrack::core
