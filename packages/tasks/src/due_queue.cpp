#include <jasminetrack/tasks/due_queue.hpp>

namespace jasminetrack::tasks
{

std::optional<milliseconds> due_queue::due(std::string const& key) const
{
    auto const at = times_.find(key);
    return at == times_.end() ? std::nullopt : std::optional(at->second);
}

void due_queue::set(std::string const& key, milliseconds due)
{
    erase(key);
    times_.emplace(key, due);
    order_.emplace(due, key);
}

void due_queue::erase(std::string const& key)
{
    auto const at = times_.find(key);
    if (at == times_.end())
        return;
    order_.erase({at->second, key});
    times_.erase(at);
}

std::vector<std::string> due_queue::take_due(milliseconds now)
{
    std::vector<std::string> keys;
    while (!order_.empty() && order_.begin()->first <= now)
    {
        auto first = order_.extract(order_.begin());
        times_.erase(first.value().second);
        keys.push_back(std::move(first.value().second));
    }
    return keys;
}

} // namespace jasminetrack::tasks
