#pragma once
/// \file
/// Allocated and free capacity of each worker, derived from the jobs and
/// updated with each change.

#include <jasminetrack/core/job.hpp>

namespace jasminetrack::core
{

/// Capacity that one job holds on one worker.
struct allocation
{
    job_id job;
    bool guaranteed = false;
    log_offset submitted = 0; ///< of the job; the latest is preempted first
    accelerator_mask mask = 0;
    std::int64_t millicores = 0;
    std::int64_t memory_mb = 0;
};

/// Free capacity of the live workers outside evacuated data centers, and
/// allocations of all workers. Two jobs hold the same
/// accelerator only while one of them is being stopped for the other.
class capacity_ledger
{
public:
    [[nodiscard]] occupancy const& free() const noexcept
    {
        return free_;
    }
    /// Capacity that would be free if all spare work were stopped.
    [[nodiscard]] occupancy const& free_of_guaranteed() const noexcept
    {
        return free_of_guaranteed_;
    }
    /// Allocations on a worker.
    [[nodiscard]] std::vector<allocation> const&
    holders(std::string const& worker_name) const;
    /// Jobs that hold places.
    [[nodiscard]] std::set<job_id> const& active() const noexcept
    {
        return active_;
    }
    /// Jobs in the queue.
    [[nodiscard]] std::set<job_id> const& waiting() const noexcept
    {
        return waiting_;
    }
    /// Whether a job holds places on the seat.
    [[nodiscard]] bool is_in_use(std::string const& seat) const
    {
        return seat_users_.count(seat) != 0;
    }
    /// Number of accelerators that a team holds beyond its guarantees.
    [[nodiscard]] int spare_held(std::string const& team) const;

    void rebuild(std::map<std::string, worker> const& workers,
                 std::map<job_id, job> const& jobs,
                 evacuation_map const& evacuations);
    /// Incremented by each change of jobs and workers.
    [[nodiscard]] std::uint64_t revision() const noexcept
    {
        return revision_;
    }
    /// Incremented by each change of the tasks that a worker shall have.
    [[nodiscard]] std::uint64_t revision_of(std::string const& worker) const;
    /// Records that a job that holds places changed its state.
    void touch(job const& j);
    void enqueue(job_id const& id);
    void dequeue(job_id const& id);
    void add(job const& j);
    /// \param j the job, with the places that it held
    void remove(job const& j);

    /// Derived state is ignored when states are compared.
    friend bool operator==(capacity_ledger const&,
                           capacity_ledger const&) noexcept
    {
        return true;
    }

private:
    void refresh(std::string const& worker_name);

    std::uint64_t revision_ = 0;
    std::uint64_t rebuilt_revision_ = 0; ///< of the last rebuild
    std::map<std::string, std::uint64_t> worker_revisions_;
    occupancy free_;
    occupancy free_of_guaranteed_;
    std::map<std::string, std::vector<allocation>> holders_;
    std::map<std::string, int> spare_held_;
    std::map<std::string, int> seat_users_;
    std::set<job_id> active_;
    std::set<job_id> waiting_;
};

} // namespace jasminetrack::core
