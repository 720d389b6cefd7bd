#pragma once
/// \file
/// Callers of a soak: they hand jobs in, ask for their states and cancel some,
/// on connections that they keep open, and repeat what gets no final answer.

#include "history.hpp"

#include <standins/cluster.hpp>

#include <atomic>
#include <cstdint>
#include <mutex>
#include <thread>

namespace jasminetrack::soak
{

struct traffic_plan
{
    std::uint32_t seed = 1;
    int callers = 4;
    double jobs_per_second = 18; ///< of all callers
    int cancels_per_hundred = 6; ///< jobs
    int urgent_per_hundred = 5;  ///< jobs
    int gangs_per_hundred = 0;   ///< jobs
    int long_per_hundred = 0;    ///< jobs, of tasks of 8 to 12 s
    /// Whether jobs are drawn from the classes of a site, with bursts of the
    /// most urgent; the shares above then don't count but for the cancels.
    bool has_site_classes = false;
};

/// Runs until it is stopped. Safe to use from several threads.
class traffic
{
public:
    traffic(traffic_plan const& plan, standins::cluster& c,
            standins::record& log);
    ~traffic();
    traffic(traffic const&) = delete;
    traffic& operator=(traffic const&) = delete;

    void start();
    /// No further jobs are handed in; waits for the callers.
    void stop();
    /// Asks for the state of each accepted job, until all are completed or the
    /// time is over.
    void await_ends(milliseconds limit_ms);
    /// Copies what the callers have seen.
    void copy_to(play_history& h);

private:
    class caller;

    std::size_t add(job_history job);
    template <typename Change>
    void change(std::size_t index, Change const& apply)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        apply(jobs_[index]);
    }
    [[nodiscard]] std::vector<job_history> jobs();

    traffic_plan plan_;
    standins::cluster& cluster_;
    standins::record& log_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> next_job_{1};
    milliseconds begun_at_ = 0;
    std::vector<std::thread> threads_;
    std::mutex mutex_;
    std::vector<job_history> jobs_;
    std::vector<request_history> requests_;
};

} // namespace jasminetrack::soak
