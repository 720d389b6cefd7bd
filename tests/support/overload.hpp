#pragma once
/// \file
/// A burst of work of twice the capacity of a simulated service, then the usual
/// load. Urgent gangs run beside jobs of two lower priorities. With load
/// shedding, new jobs pass the admission with readings as entry VMs get them.

#include "dispatch_simulation.hpp"

#include <jasminetrack/tasks/admission.hpp>

namespace support
{

/// What the callers of one priority got.
struct caller_results
{
    int in_time = 0;
    int late = 0;
    int expired = 0;
    int rejected = 0;

    friend bool operator==(caller_results const&,
                           caller_results const&) = default;
};

/// Which parts of load shedding are on.
enum class shedding : std::uint8_t
{
    off,
    order,               ///< every job is accepted
    order_and_admission, ///< as with the setting
};

struct load_burst
{
    milliseconds length_ms = 8'000;
    double load = 2; ///< as a part of the capacity
};

class overload_simulation
{
public:
    overload_simulation(unsigned seed, shedding parts, load_burst burst);

    /// Plays the burst, the usual load, and time to finish.
    void run();
    /// \returns the results by priority.
    [[nodiscard]] std::map<std::int64_t, caller_results> results() const;
    /// The same seed submits the same jobs with and without load shedding.
    [[nodiscard]] std::set<std::string> rejected() const;
    [[nodiscard]] bool expired(std::string const& id) const;
    [[nodiscard]] std::vector<violation> const& violations() const noexcept
    {
        return simulation_.violations();
    }

private:
    struct job_kind
    {
        char const* queue;
        double share; ///< of the load
        std::int64_t max_tasks;
        std::int64_t accelerators; ///< of a task
        milliseconds min_work_ms;
        milliseconds max_work_ms;
        bool gang;
    };
    struct submitted_job
    {
        std::int64_t priority = 0;
        milliseconds submitted = 0;
        milliseconds objective_ms = 0;
        milliseconds completed = -1;
        bool rejected = false;
    };

    [[nodiscard]] static std::vector<job_kind> const& kinds();
    [[nodiscard]] static bool is_expired(submitted_job const& j);
    void submit_due(milliseconds at);
    void submit(job_kind const& k);
    void read_load(milliseconds at);
    [[nodiscard]] bool admit(queue const& q, job_spec const& spec);
    void record_completed();
    [[nodiscard]] double uniform(double min, double max);

    std::mt19937 random_;
    dispatch_simulation simulation_;
    configuration config_;
    bool admits_all_;
    load_burst burst_;
    std::optional<load_reading> reading_;
    milliseconds read_at_ = 0;
    accepted_by_priority accepted_; ///< since the reading
    std::map<std::string, submitted_job> jobs_;
};

} // namespace support
