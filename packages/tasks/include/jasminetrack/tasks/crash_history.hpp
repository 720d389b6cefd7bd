#pragma once
/// \file
/// Workers that were lost while a task was on them, and what follows for the
/// next start of the task. Answers a load in which a few tasks crash every
/// worker that starts them, beside sound tasks on workers that crash by
/// themselves, with their rack, or are only silent.

#include <jasminetrack/tasks/model.hpp>

namespace jasminetrack::tasks
{

/// How strongly the loss of a worker speaks against a task that was on it.
enum class crash_exposure : std::uint8_t
{
    /// The task had run there for a while, or the whole rack was lost.
    established,
    /// It was just started, as other tasks there may have been.
    starting,
    /// It was just started, and nothing else was.
    isolated,
    /// The worker neither answered the start nor listed the run, so the task
    /// may not have been started there.
    unanswered,
    /// It was just started, beside other suspected tasks only.
    grouped,
    /// It had run, there or before, for longer than a start that crashes its
    /// worker takes.
    proven,
};

[[nodiscard]] char const* to_text(crash_exposure e) noexcept;

/// A worker that was lost while a task was on it.
struct worker_loss
{
    std::int64_t index = 0; ///< of the task within its unit
    std::int64_t run = 0;   ///< number of the unit's run
    std::string worker;
    std::int64_t incarnation = 0; ///< of the worker
    crash_exposure exposure = crash_exposure::established;
    bool crashed = false; ///< false: the worker may only be silent

    friend bool operator==(worker_loss const&, worker_loss const&) = default;
};

/// What to do with a unit that is to be started again.
enum class crash_verdict : std::uint8_t
{
    none,
    /// Start it where nothing but other suspects is being started, and start
    /// nothing beside it until it has ended.
    isolate,
    wait, ///< until it is known whether silent workers have crashed
    give_up,
};

/// \param losses  of one unit; each of its tasks is judged by itself
/// \returns the strictest verdict on any of its tasks. A sound task is never
/// given up because of workers that were silent, and only if it was isolated on
/// two workers that crashed just then, after a third one (on one of the two it
/// may have been grouped), or if four crashed. A proven task is not isolated
/// any more, and given up if twenty crashed. Crashes before the start was
/// answered count only beside two others, one of them just after the start, or
/// once there are five in all: a task may crash each worker so soon.
[[nodiscard]] crash_verdict judge(std::vector<worker_loss> const& losses);

/// \returns whether starts should leave the task's worker alone until it ends:
/// further crashes that others cause may end its job.
[[nodiscard]] bool
is_vulnerable(std::vector<worker_loss> const& losses) noexcept;

/// \returns how many suspected tasks may be started together on a worker, if
/// one of them has these losses. If the worker is lost, each of them is started
/// alone.
/// \param many  so many suspects for each worker that may be kept for them, if
///              there are many; 0 otherwise. Most of these have lost their
///              workers by another cause.
[[nodiscard]] std::int64_t max_group(std::vector<worker_loss> const& losses,
                                     std::int64_t many) noexcept;

/// Adds a loss, unless there is one of this run of the task already: the worker
/// may restart again while it is not known whether it still has the run. One
/// with an answered start takes the place of one without.
void add_loss(std::vector<worker_loss>& losses, worker_loss loss);

/// The task is proven, so its losses so far were not its fault.
/// \returns whether that was not known.
bool clear_losses(std::vector<worker_loss>& losses, std::int64_t index);

/// \returns the task of the unit that most crashed workers had.
[[nodiscard]] std::int64_t
most_crashed_task(std::vector<worker_loss> const& losses);

/// \returns how many workers have crashed while this task was on them.
[[nodiscard]] std::int64_t crashes_of(std::vector<worker_loss> const& losses,
                                      std::int64_t index);

} // namespace jasminetrack::tasks
