#pragma once
/// \file
/// Configuration that operators declare: teams, services, job classes, and the
/// tickets that change them. All are immutable values once parsed.

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

/// How close to each other the members of a gang must be placed.
enum class adjacency : std::uint8_t
{
    none,   ///< anywhere in the region
    rack,   ///< all members within one rack
    worker, ///< all members on one worker, accelerators consecutive
};

/// Resources of a gang. A member without accelerators is a plain task.
struct shape
{
    int members = 1;      ///< tasks that start together, 1..128
    int accelerators = 0; ///< per member, consecutive on one worker, 0..64
    int millicores = 0;   ///< processor share per member, 1/1000 core, from 0
    int memory_mb = 0;    ///< memory per member, MB, from 0
    adjacency adjacent = adjacency::none;

    friend auto operator<=>(shape const&, shape const&) = default;
};

/// \returns the number of accelerators of all members.
[[nodiscard]] constexpr int total_accelerators(shape const& s) noexcept
{
    return s.members * s.accelerators;
}

/// \returns whether a gang of shape `gang` fits into a free seat of shape
/// `seat`.
[[nodiscard]] bool covers(shape const& seat, shape const& gang) noexcept;

/// `count` gangs of the shape `wanted` that a team can run at once in a region,
/// also if spare work has to be stopped for them.
struct guarantee
{
    std::string region;
    shape wanted;
    int count = 1;

    friend bool operator==(guarantee const&, guarantee const&) = default;
};

/// A team with its guarantees and the limit of its spare work.
struct team
{
    std::string name;
    int weight = 1;             ///< share of the spare capacity, from 1
    int spare_accelerators = 0; ///< limit beyond guarantees; 0: no limit
    std::vector<guarantee> guarantees;

    friend bool operator==(team const&, team const&) = default;
};

/// A request service. Targets of any region may answer its calls.
struct service
{
    std::string name;
    std::string team;
    bool idempotent = true;
    milliseconds deadline_ms = 5000; ///< maximum duration of a call
    std::string path = "/";          ///< path of the calls at the targets

    friend bool operator==(service const&, service const&) = default;
};

/// Capacity that the jobs of a class use.
enum class capacity_source : std::uint8_t
{
    spare,     ///< beyond guarantees; may be preempted at any time
    guarantee, ///< the team's guarantee; never preempted
};

/// A class of gang jobs.
struct job_class
{
    std::string name;
    std::string team;
    std::string region;
    shape gang;
    capacity_source draws_on = capacity_source::spare;
    bool idempotent = true; ///< may run again after the loss of a worker

    friend bool operator==(job_class const&, job_class const&) = default;
};

/// Removal of an object by a ticket.
struct removal
{
    std::string kind; ///< team, service or job_class
    std::string name;

    friend bool operator==(removal const&, removal const&) = default;
};

/// One object of a ticket: its complete new state, or its removal.
using config_object = std::variant<team, service, job_class, removal>;

/// A numbered change of the configuration. Each object that it contains is
/// replaced as a whole.
struct ticket
{
    ticket_number number = 0;
    std::string author;
    std::string reason;
    std::vector<config_object> objects;

    friend bool operator==(ticket const&, ticket const&) = default;
};

/// The configuration that is in force.
struct configuration
{
    std::map<std::string, team> teams;
    std::map<std::string, service> services;
    std::map<std::string, job_class> job_classes;

    friend bool operator==(configuration const&,
                           configuration const&) = default;
};

/// \returns "kind/name", the key of the object's version in the state.
[[nodiscard]] std::string object_key(config_object const& object);

/// Adds, replaces or removes one object.
void apply_object(configuration& config, config_object const& object);

/// Checks references, ranges and shapes; all that does not depend on workers.
/// \returns one line for each error; empty if the configuration is valid.
[[nodiscard]] std::vector<std::string>
find_configuration_errors(configuration const& config);

} // namespace jasminetrack::core
