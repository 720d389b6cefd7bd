#pragma once
/// \file
/// What the logs tell of a job that is held: the need of a unit that waits, and
/// what its service has at that moment.

#include <jasminetrack/tasks/hold_reason.hpp>

namespace jasminetrack::tasks
{

/// Describes a job that has nothing running though a unit of it could run.
struct hold_report
{
    hold_reason reason = hold_reason::no_room;
    milliseconds held_ms = 0; ///< since this dispatcher first saw it held
    milliseconds age_ms = 0;  ///< since it was accepted or due; wall-clock time
    std::int64_t priority = 0;
    std::int64_t tasks = 1;    ///< of the unit
    resources need;            ///< of one task
    bool same_rack = false;    ///< the unit wants a single rack
    resources free;            ///< on workers that take starts
    resources used;            ///< of `capacity`
    resources capacity;        ///< of all listed workers of the service
    std::int64_t headroom = 0; ///< accelerators kept free for urgent work

    friend bool operator==(hold_report const&, hold_report const&) = default;
};

/// \returns "key=value" fields.
[[nodiscard]] std::string to_text(hold_report const& r);

} // namespace jasminetrack::tasks
