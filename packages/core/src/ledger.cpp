#include <jasminetrack/core/ledger.hpp>

#include <algorithm>

namespace jasminetrack::core
{
namespace
{

std::map<std::string, allocation> allocations_of(job const& j)
{
    std::map<std::string, allocation> result;
    for (auto const& place : j.places)
    {
        auto& h = result[place.worker];
        h.job = j.id;
        h.guaranteed = !j.seat.empty();
        h.submitted = j.submitted;
        h.mask |= range_mask(place.first, place.count);
        h.millicores += j.gang.millicores;
        h.memory_mb += j.gang.memory_mb;
    }
    return result;
}

void accumulate(allocated_capacity& sum, allocation const& h) noexcept
{
    sum.mask |= h.mask;
    sum.millicores += h.millicores;
    sum.memory_mb += h.memory_mb;
}

} // namespace

std::vector<allocation> const&
capacity_ledger::holders(std::string const& worker_name) const
{
    static std::vector<allocation> const none;
    auto const found = holders_.find(worker_name);
    return found == holders_.end() ? none : found->second;
}

int capacity_ledger::spare_held(std::string const& team) const
{
    auto const found = spare_held_.find(team);
    return found == spare_held_.end() ? 0 : found->second;
}

void capacity_ledger::rebuild(std::map<std::string, worker> const& workers,
                              std::map<job_id, job> const& jobs,
                              evacuation_map const& evacuations)
{
    free_ = occupancy(workers, evacuations);
    free_of_guaranteed_ = free_;
    holders_.clear();
    spare_held_.clear();
    seat_users_.clear();
    active_.clear();
    waiting_.clear();
    for (auto const& [id, j] : jobs)
        if (holds_places(j))
            add(j);
        else if (j.state == job_state::waiting)
            enqueue(id);
    worker_revisions_.clear();
    rebuilt_revision_ = ++revision_;
}

std::uint64_t capacity_ledger::revision_of(std::string const& worker) const
{
    auto const found = worker_revisions_.find(worker);
    return found == worker_revisions_.end() ? rebuilt_revision_ : found->second;
}

void capacity_ledger::touch(job const& j)
{
    ++revision_;
    for (auto const& place : j.places)
        worker_revisions_[place.worker] = revision_;
}

void capacity_ledger::enqueue(job_id const& id)
{
    ++revision_;
    waiting_.insert(id);
}

void capacity_ledger::dequeue(job_id const& id)
{
    ++revision_;
    waiting_.erase(id);
}

void capacity_ledger::add(job const& j)
{
    for (auto& [worker_name, h] : allocations_of(j))
    {
        holders_[worker_name].push_back(h);
        refresh(worker_name);
    }
    active_.insert(j.id);
    if (j.seat.empty())
        spare_held_[j.team] += total_accelerators(j.gang);
    else
        ++seat_users_[j.seat];
}

void capacity_ledger::remove(job const& j)
{
    for (auto const& [worker_name, h] : allocations_of(j))
    {
        auto& list = holders_[worker_name];
        std::erase_if(list, [&](allocation const& x) { return x.job == j.id; });
        refresh(worker_name);
        if (list.empty())
            holders_.erase(worker_name);
    }
    active_.erase(j.id);
    if (j.seat.empty())
        spare_held_[j.team] -= total_accelerators(j.gang);
    else if (--seat_users_[j.seat] == 0)
        seat_users_.erase(j.seat);
}

void capacity_ledger::refresh(std::string const& worker_name)
{
    allocated_capacity all;
    allocated_capacity guaranteed;
    for (auto const& h : holders_[worker_name])
    {
        accumulate(all, h);
        if (h.guaranteed)
            accumulate(guaranteed, h);
    }
    worker_revisions_[worker_name] = ++revision_;
    free_.set_allocated(worker_name, all);
    free_of_guaranteed_.set_allocated(worker_name, guaranteed);
}

} // namespace jasminetrack::core
