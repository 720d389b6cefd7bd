#pragma once
/// \file
/// The workers that may take starts in the current scheduling pass, and what is
/// left of them as the pass goes on.

#include <jasminetrack/tasks/detail/dispatcher_state.hpp>

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jasminetrack::tasks::detail
{

/// \param list  sorted by id
/// \returns nullptr if the worker is not in the list.
[[nodiscard]] worker_candidate*
find_candidate(std::vector<worker_candidate>& list, std::string const& id);

/// For whom the candidates of a list are.
struct candidate_key
{
    std::string service;
    std::int64_t priority = 0;
    /// The team that claims its guarantee, and so may stop what other teams
    /// hold beyond theirs; empty: only work of lower priority is stopped.
    std::string claimant;

    friend auto operator<=>(candidate_key const&,
                            candidate_key const&) = default;
};

/// The candidates by service, priority and claimant. The caller fills the
/// lists; a list that is not current holds those of an earlier pass.
class candidate_lists
{
public:
    /// No list is current any more.
    void begin_pass();
    /// \returns the list, which is new and empty at first.
    [[nodiscard]] candidate_list& list_of(candidate_key const& key);
    [[nodiscard]] std::map<candidate_key, candidate_list>& all() noexcept
    {
        return lists_;
    }

    /// A task that holds `each` is started in each of the places, which are
    /// workers of the service.
    void deduct(std::string const& service,
                std::vector<std::string> const& places, resources const& each);
    /// Nothing is started on these workers for the rest of the pass.
    void remove(std::vector<std::string> const& places);
    /// Suspected runs are being started there for the rest of the pass.
    /// \param max_group  suspects that may start on a worker together
    void note_suspects(std::set<std::string> const& workers,
                       std::int64_t max_group);

private:
    std::map<candidate_key, candidate_list> lists_;
};

} // namespace jasminetrack::tasks::detail
