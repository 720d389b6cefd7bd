#pragma once
/// \file
/// The part of a service that lower priorities have beside urgent work.
/// Answers days on which urgent bursts come one after the other: room that is
/// kept for the next one, and stops for this one, would leave the other queues
/// nothing for as long as such a day lasts.

#include <jasminetrack/tasks/model.hpp>

namespace jasminetrack::tasks
{

/// \param capacity    accelerators of the service
/// \param priorities  lower than urgent, that have unfinished jobs
/// \returns accelerators that each of them may hold whatever is kept for
/// urgent work. Guaranteed work may still stop what runs there.
[[nodiscard]] std::int64_t least_share(std::int64_t capacity,
                                       std::int64_t priorities) noexcept;

} // namespace jasminetrack::tasks
