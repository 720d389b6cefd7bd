#pragma once
/// \file
/// Jobs with a task that crashes its workers, and what is expected of the jobs
/// around them.

#include "dispatch_simulation.hpp"
#include "section.hpp"

namespace support
{

/// \param index  of the task that crashes each worker that starts it
inline true_work crashing_task(std::int64_t index)
{
    true_work work;
    work.crashing_task = index;
    return work;
}

inline void expect_no_violations(dispatch_simulation const& w)
{
    auto const& v = w.violations();
    expect(v.empty(), v.empty() ? "" : v.front().text);
}

/// \returns the id of a worker of add_racks().
inline std::string name_of(int worker)
{
    return "w" + std::to_string(worker);
}

/// Expects that the jobs with this name and a number below `count` are done.
inline void expect_completed(dispatch_simulation const& w,
                             std::string const& jobs, int count)
{
    for (int i = 0; i < count; ++i)
        expect(w.phase(jobs + std::to_string(i)) == job_phase::completed,
               jobs + std::to_string(i) + " is completed");
}

} // namespace support
