#include <jasminetrack/tasks/detail/candidate_lists.hpp>

#include <algorithm>

namespace jasminetrack::tasks::detail
{

worker_candidate* find_candidate(std::vector<worker_candidate>& list,
                                 std::string const& id)
{
    auto const at =
        std::lower_bound(list.begin(), list.end(), id,
                         [](worker_candidate const& c, std::string const& other)
                         { return c.id < other; });
    return at == list.end() || at->id != id ? nullptr : &*at;
}

void candidate_lists::begin_pass()
{
    for (auto& [key, list] : lists_)
        list.current = false;
}

candidate_list& candidate_lists::list_of(candidate_key const& key)
{
    return lists_[key];
}

void candidate_lists::deduct(std::string const& service,
                             std::vector<std::string> const& places,
                             resources const& each)
{
    for (auto& [key, list] : lists_)
    {
        if (key.service != service || !list.current)
            continue;
        for (auto const& id : places)
        {
            auto* const candidate = find_candidate(list.workers, id);
            if (!candidate)
                continue;
            candidate->free -= each;
            candidate->free_after_stops -= each;
            candidate->starting = true;
        }
    }
}

void candidate_lists::remove(std::vector<std::string> const& places)
{
    for (auto& [key, list] : lists_)
        for (auto const& id : places)
            if (auto* const candidate = find_candidate(list.workers, id))
            {
                candidate->free = {};
                candidate->free_after_stops = {};
                candidate->stoppable.clear();
            }
}

void candidate_lists::note_suspects(std::set<std::string> const& workers,
                                    std::int64_t max_group)
{
    for (auto& [key, list] : lists_)
        for (auto const& id : workers)
            if (auto* const candidate = find_candidate(list.workers, id))
            {
                auto const before = candidate->max_suspects;
                candidate->max_suspects =
                    before == 0 ? max_group : std::min(before, max_group);
                ++candidate->suspects;
            }
}

} // namespace jasminetrack::tasks::detail
