#pragma once
/// \file
/// The part of a service's capacity that urgent work leaves to lower
/// priorities. While bursts of urgent work follow each other, stops for the
/// current burst and headroom for the next one would otherwise starve the other
/// queues.

#include <jasminetrack/tasks/model.hpp>

namespace jasminetrack::tasks
{

/// \param capacity    accelerators of the service
/// \param priorities  number of lower priorities that have unfinished jobs
/// \returns the number of accelerators that each of these priorities may hold
/// regardless of the headroom for urgent work. Guaranteed work may still stop
/// runs within this share.
[[nodiscard]] std::int64_t least_share(std::int64_t capacity,
                                       std::int64_t priorities) noexcept;

} // namespace jasminetrack::tasks
