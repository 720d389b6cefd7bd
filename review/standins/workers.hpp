#pragma once
/// \file
/// Stand-ins for the platform's workers: they start, stop and end tasks as the
/// users' pages describe it.

#include "http.hpp"
#include "record.hpp"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace jasminetrack::review
{

/// One run of a task, as its worker saw it.
struct run_history
{
    std::string worker;
    std::string task;
    std::int64_t run = 0;
    std::int64_t token = 0;
    milliseconds begun_ms = 0;
    milliseconds ended_ms = -1; ///< -1: it still runs
    std::string how;            ///< empty while it runs
    /// When its end was taken note of: `last_seen` has reached it, and the
    /// worker's lease had not lapsed since the end; -1: never.
    milliseconds noted_ms = -1;
};

/// The runs of all workers. Safe to use from several threads.
class run_book
{
public:
    /// \returns the index of the new run.
    std::size_t begin(run_history history);
    /// The run has ended now.
    void end(std::size_t index, std::string const& how);
    /// The end of the run is taken note of now, if it was not before.
    void note(std::size_t index);
    /// \returns all runs, in the order in which they began.
    [[nodiscard]] std::vector<run_history> all();

private:
    std::mutex mutex_;
    std::vector<run_history> runs_;
};

/// What a worker does with a call.
enum class worker_action : std::uint8_t
{
    serve,
    refuse,      ///< 503, nothing is done
    lose_answer, ///< the call is carried out, and its connection is reset
    mute,        ///< nothing is done, and the connection returns nothing
};

/// A task runs for the time in milliseconds that its `spec` begins with.
/// Safe to use from several threads.
class worker
{
public:
    /// Chooses by the path of a call, such as "/api/run-start", and by the
    /// fencing token in it, which tells who dispatches.
    using chooser = std::function<worker_action(std::string const& path,
                                                std::int64_t token)>;

    worker(std::string id, std::string address, milliseconds hold_max_ms,
           run_book& book, record& log);
    ~worker();

    /// \returns its id in the platform's list.
    [[nodiscard]] std::string const& id() const noexcept
    {
        return id_;
    }
    /// \returns the worker's entry in the platform's list.
    [[nodiscard]] std::string list_entry() const;
    /// Sets what is done with each call from now on.
    void set_chooser(chooser choose);
    /// Ends its server; its runs stay as they are.
    void stop();

private:
    struct running
    {
        std::int64_t run = 0;
        std::size_t index = 0; ///< in the run book
        milliseconds begun_ms = 0;
        milliseconds takes_ms = 0;
        milliseconds stops_at_ms = 0; ///< 0: it is not being stopped
    };
    struct ended
    {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
        std::size_t index = 0; ///< in the run book
        int lapses = 0;        ///< of the worker's lease, up to the end
    };

    [[nodiscard]] milliseconds clock() const;
    [[nodiscard]] http_response handle(http_request const& request);
    [[nodiscard]] http_response start(http_request const& request);
    [[nodiscard]] http_response stop_run(http_request const& request);
    [[nodiscard]] http_response hold(http_request const& request);
    [[nodiscard]] http_response lists() const;
    [[nodiscard]] http_response conflict(char const* reason) const;
    /// \returns whether the token is below one that was seen.
    [[nodiscard]] bool is_fenced(std::int64_t token);
    void extend_lease(std::int64_t until);
    /// Counts a lapse of the lease if it has just come to its end.
    void check_lease();
    void finish(std::string const& task, std::string const& how);
    /// Ends tasks whose time has come and all tasks when the lease expires.
    void run();

    std::string id_;
    std::string address_;
    milliseconds hold_max_ms_;
    run_book& book_;
    record& log_;
    std::int64_t born_;
    milliseconds begun_ms_;
    std::mutex mutex_;
    std::condition_variable changed_;
    chooser choose_;
    bool stopping_ = false;
    std::int64_t token_ = 0;
    milliseconds lease_until_ = 0;
    bool lease_lapsed_ = true;
    int lapses_ = 0; ///< of the lease
    std::map<std::string, running> running_;
    std::vector<ended> ended_;
    std::int64_t ends_ = 0;
    /// Highest run that was stopped or ended, by task.
    std::map<std::string, std::int64_t> closed_;
    std::thread thread_;
    std::unique_ptr<http_server> server_;
};

} // namespace jasminetrack::review
