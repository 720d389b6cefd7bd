#pragma once
/// \file
/// Answers of the advice service, for queues whose policy permits only some
/// workers to run a step. A permitted worker gets a ticket, which a start must
/// carry. A ticket expires; whether a worker is permitted does not change.

#include <jasminetrack/tasks/orders.hpp>

#include <map>
#include <set>

namespace jasminetrack::tasks
{

/// Stores the tickets and limits the requests. The service answers one request
/// at a time while many steps may need advice, so a step asks about a few
/// workers with free capacity, and asks again only if no permitted worker can
/// take it.
class placement_advice
{
public:
    /// \returns the ticket for a step on one incarnation of a worker, or
    /// nullptr if there is no valid one.
    [[nodiscard]] std::string const* ticket(milliseconds now,
                                            step_ref const& step,
                                            std::string const& worker,
                                            std::int64_t incarnation) const;
    /// \returns whether the service has refused the worker for the step.
    [[nodiscard]] bool is_refused(step_ref const& step,
                                  std::string const& worker) const;
    /// \returns whether a request may be sent now.
    [[nodiscard]] bool may_request(milliseconds now) const noexcept;

    /// \param incarnations  of the workers that the request names
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
