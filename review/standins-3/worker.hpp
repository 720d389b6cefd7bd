#pragma once
/// \file
/// Stand-in for a worker of the platform.

#include "net.hpp"

#include <condition_variable>

namespace jasminetrack::review3
{

/// One run of a task, as its worker saw it.
struct run_record
{
    std::string worker;
    std::string task;
    std::int64_t run = 0;
    std::string spec;
    milliseconds begun_ms = 0;
    milliseconds ended_ms = -1; ///< -1: it still runs
    std::string how;            ///< empty while it runs
};

/// The runs of all workers, in the order in which they began.
class run_list
{
public:
    /// \returns the index of the new run.
    std::size_t begin(run_record r);
    void end(std::size_t index, std::string const& how);
    [[nodiscard]] std::vector<run_record> all() const;
    /// \returns the runs of the job's tasks.
    [[nodiscard]] std::vector<run_record> of_job(std::string const& id) const;

private:
    mutable std::mutex mutex_;
    std::vector<run_record> runs_;
};

/// A worker. The `spec` of a job holds the durations of its tasks in
/// milliseconds, by step, separated by commas; 0: they run until stopped.
class worker
{
public:
    using listener = std::function<void(std::string const&)>;

    /// \param listen  is told of each run that begins or ends
    worker(std::string id, std::string service, std::string rack,
           run_list& runs, listener listen);
    ~worker();

    [[nodiscard]] std::string const& id() const noexcept
    {
        return id_;
    }
    [[nodiscard]] std::string address() const;
    /// \returns its entry in the platform's list.
    /// \param seen_at  its address as others reach it
    [[nodiscard]] std::string entry(std::string const& seen_at) const;
    void stop();

private:
    struct active
    {
        std::int64_t run = 0;
        std::size_t index = 0;
        milliseconds takes_ms = 0;
        milliseconds begun_ms = 0;
        milliseconds stops_at_ms = 0; ///< 0: it is not being stopped
    };
    struct ended
    {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
    };

    [[nodiscard]] response handle(request const& r);
    [[nodiscard]] response start(std::string const& body);
    [[nodiscard]] response stop_run(std::string const& body);
    [[nodiscard]] response hold(std::string const& body);
    [[nodiscard]] response conflict(char const* reason) const;
    [[nodiscard]] bool is_fenced(std::int64_t token);
    [[nodiscard]] milliseconds clock() const;
    void extend_lease(milliseconds until);
    void finish(std::string const& task, std::string const& how);
    void run();

    std::string id_;
    std::string service_;
    std::string rack_;
    run_list& runs_;
    listener listen_;
    milliseconds born_;
    milliseconds begun_ms_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    bool stopping_ = false;
    std::int64_t token_ = 0;
    milliseconds lease_until_ = 0; ///< on its own clock
    std::map<std::string, active> active_;
    std::vector<ended> ended_;
    std::int64_t ends_ = 0;
    std::map<std::string, std::int64_t> closed_; ///< highest ended run by task
    std::thread thread_;
    server server_;
};

} // namespace jasminetrack::review3
