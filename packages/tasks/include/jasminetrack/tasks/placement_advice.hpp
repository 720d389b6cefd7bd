#pragma once
/// \file
/// What the advice service said of steps whose queue lets only some workers
/// run them: which workers, and the tickets that prove it to them. The answer
/// for a worker does not change; its ticket expires.

#include <jasminetrack/tasks/orders.hpp>

#include <map>
#include <set>

namespace jasminetrack::tasks
{

/// Answers the load of many steps that need advice while the service answers
/// one call at a time: a step asks for a few workers with room, again only if
/// none of the good ones takes it.
class placement_advice
{
public:
    /// \returns the ticket for a step on one life of a worker; null without a
    /// valid one.
    [[nodiscard]] std::string const* ticket(milliseconds now,
                                            step_ref const& step,
                                            std::string const& worker,
                                            std::int64_t incarnation) const;
    /// \returns whether the service said that the worker may not run the step.
    [[nodiscard]] bool is_refused(step_ref const& step,
                                  std::string const& worker) const;
    /// \returns whether a call may be made now.
    [[nodiscard]] bool may_request(milliseconds now) const noexcept;

    /// \param incarnations  workers to ask for, and their incarnations
    void on_request_sent(advice_order const& o,
                         std::map<std::string, std::int64_t> incarnations);
    void on_reply(milliseconds now, advice_reply const& r);
    void erase_job(std::string const& job);

private:
    struct grant
    {
        std::string ticket;
        std::int64_t incarnation = 0;
        milliseconds until = 0;
    };
    struct step_advice
    {
        std::map<std::string, grant> good; ///< by worker
        std::set<std::string> refused;
    };

    std::map<step_ref, step_advice> steps_;
    bool request_pending_ = false;
    std::map<std::string, std::int64_t> requested_incarnations_;
    milliseconds retry_at_ = 0;
};

} // namespace jasminetrack::tasks
