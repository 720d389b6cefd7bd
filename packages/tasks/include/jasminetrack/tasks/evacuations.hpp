#pragma once
/// \file
/// The data centers that operators have evacuated: nothing is started on their
/// workers until they are restored. What runs there runs on.

#include <jasminetrack/tasks/model.hpp>

#include <set>
#include <string>

namespace jasminetrack::tasks
{

/// The evacuated data centers as they were last read from the log. A dispatcher
/// that cannot read the operators' records may have missed an evacuation, so a
/// view may be relied on for a limited time only.
class evacuations
{
public:
    /// \param bound_ms  time after which an evacuation must be in force; 0: the
    ///                  age of the view is not limited
    explicit evacuations(milliseconds bound_ms) noexcept;

    /// \param as_of  the log held no later records at this time
    /// \returns whether the set differs from the one before.
    bool update(std::set<std::string> data_centers, milliseconds as_of);
    [[nodiscard]] bool contains(std::string const& data_center) const
    {
        return data_centers_.count(data_center) != 0;
    }
    [[nodiscard]] std::set<std::string> const& data_centers() const noexcept
    {
        return data_centers_;
    }
    /// \returns whether a start that is sent now reaches its worker before an
    /// evacuation that is not known yet must be in force.
    [[nodiscard]] bool is_current(milliseconds now) const noexcept;

private:
    milliseconds bound_ms_;
    milliseconds as_of_ = -1; ///< -1: never read
    std::set<std::string> data_centers_;
};

} // namespace jasminetrack::tasks
