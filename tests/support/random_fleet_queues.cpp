/// \file
/// Days on which operators replace, remove and move queues while their jobs
/// run.

#include "random_fleet.hpp"
#include "small_jobs.hpp"

#include <algorithm>

namespace support
{
namespace
{

/// No worker is of this service.
constexpr char const* other_service = "other";

} // namespace

std::string random_fleet::prefix_of_any_queue()
{
    return below(2) == 0 ? urgent_prefix : batch_prefix;
}

std::optional<std::string>
random_fleet::queue_at(std::string const& prefix) const
{
    for (auto const& q : world_.current_configuration().queues)
        if (q.prefix == prefix && q.service != other_service)
            return q.name;
    return std::nullopt;
}

void random_fleet::replace_queue(std::string const& prefix,
                                 std::optional<queue> const& q)
{
    auto c = world_.current_configuration();
    ++c.version;
    std::erase_if(c.queues,
                  [&](queue const& old) { return old.prefix == prefix; });
    if (q)
        c.queues.push_back(*q);
    world_.configure(c);
}

void random_fleet::rename_queue()
{
    auto const prefix = prefix_of_any_queue();
    for (auto q : world_.current_configuration().queues)
    {
        if (q.prefix != prefix)
            continue;
        q.name = "renamed" + std::to_string(renamed_queues_++);
        replace_queue(prefix, q);
    }
}

void random_fleet::remove_queue()
{
    replace_queue(prefix_of_any_queue(), std::nullopt);
}

void random_fleet::move_queue()
{
    auto const prefix = prefix_of_any_queue();
    for (auto q : world_.current_configuration().queues)
    {
        if (q.prefix != prefix)
            continue;
        q.service = other_service;
        q.priority = q.priority == 0 ? 1 : 0;
        replace_queue(prefix, q);
    }
}

void random_fleet::restore_queues()
{
    auto c = two_queues();
    c.version = world_.current_configuration().version + 1;
    world_.configure(c);
}

} // namespace support
