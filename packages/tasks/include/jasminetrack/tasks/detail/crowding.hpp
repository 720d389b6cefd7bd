#pragma once
/// \file
/// Since when work of a service finds no room. Times are on the dispatcher's
/// monotonic clock.

#include <jasminetrack/tasks/model.hpp>

#include <map>
#include <set>
#include <string>

namespace jasminetrack::tasks::detail
{

/// Decides for how long starts leave workers with vulnerable runs alone.
class crowding
{
public:
    /// A scheduling pass begins.
    void begin_pass();
    /// A unit of the service, other than a suspect, found no room in the pass.
    void note(std::string const& service);
    /// Services without a note since begin_pass() have room again.
    void end_pass(milliseconds now);
    /// \returns whether starts leave workers with vulnerable runs alone.
    [[nodiscard]] bool spares_vulnerable(milliseconds now,
                                         std::string const& service) const;

private:
    std::set<std::string> in_pass_;
    std::map<std::string, milliseconds> since_; ///< by service
};

} // namespace jasminetrack::tasks::detail
