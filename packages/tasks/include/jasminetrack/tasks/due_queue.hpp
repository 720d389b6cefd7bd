#pragma once
/// \file
/// Keys in the order of the times at which they are due.

#include <jasminetrack/tasks/model.hpp>

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jasminetrack::tasks
{

/// Each key is due at most once. Finding the due keys costs no time for the
/// others.
class due_queue
{
public:
    /// \returns when the key is due, or nothing if it is not queued.
    [[nodiscard]] std::optional<milliseconds> due(std::string const& key) const;

    /// Queues the key, or moves it to another time.
    void set(std::string const& key, milliseconds due);
    void erase(std::string const& key);
    /// Removes the keys that are due at `now`.
    /// \returns these keys, the one that was due first at the front.
    [[nodiscard]] std::vector<std::string> take_due(milliseconds now);

private:
    std::map<std::string, milliseconds> times_;
    std::set<std::pair<milliseconds, std::string>> order_;
};

} // namespace jasminetrack::tasks
