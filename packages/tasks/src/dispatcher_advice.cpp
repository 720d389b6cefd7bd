#include "failed_runs.hpp"

#include <jasminetrack/tasks/dispatcher.hpp>

#include <algorithm>

namespace jasminetrack::tasks
{
namespace
{

/// The service takes time for each worker that a request names.
constexpr std::size_t max_workers_per_request = 30;

step_ref step_ref_of(unit_ref const& ref)
{
    return {ref.job, ref.unit.occurrence, ref.unit.step};
}

} // namespace

std::string const* dispatcher::ticket_of(milliseconds now, unit_ref const& ref,
                                         std::string const& worker) const
{
    auto const at = workers_.find(worker);
    return at == workers_.end() ? nullptr
                                : advice_.ticket(now, step_ref_of(ref), worker,
                                                 at->second.info.incarnation);
}

void dispatcher::exclude_unadvised(milliseconds now, unit_ref const& ref,
                                   std::string const& service,
                                   unit_need& need) const
{
    for (auto const& [id, w] : workers_)
        if (w.info.service == service && !ticket_of(now, ref, id))
            need.avoid.insert(id);
}

/// Names the workers with the most free accelerators first.
void dispatcher::request_advice(milliseconds now, unit_ref const& ref,
                                queue const& q, unit_need const& need)
{
    if (!advice_.may_request(now))
        return;
    auto const step = step_ref_of(ref);
    std::vector<worker_view const*> candidates;
    for (auto const& [id, w] : workers_)
        if (w.info.service == q.service && !unfit_reason_of(now, w) &&
            !ticket_of(now, ref, id) && !advice_.is_refused(step, id) &&
            !detail::has_failed_there(now, jobs_.at(ref.job), ref, id) &&
            fits(need.per_task, w.info.capacity))
            candidates.push_back(&w);
    if (candidates.empty())
        return;
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](worker_view const* a, worker_view const* b) {
                         return a->free_capacity().accelerators >
                                b->free_capacity().accelerators;
                     });
    candidates.resize(std::min(candidates.size(), max_workers_per_request));
    advice_order order;
    order.step = step;
    std::map<std::string, std::int64_t> incarnations;
    for (auto const* w : candidates)
    {
        order.workers.push_back(w->info.id);
        incarnations[w->info.id] = w->info.incarnation;
    }
    order.service_time_ms =
        q.advice_ms + q.advice_each_ms * std::ssize(order.workers);
    advice_.on_request_sent(order, std::move(incarnations));
    log_decision("advice.ask", ref.job,
                 "step=" + std::to_string(step.step) +
                     " workers=" + std::to_string(order.workers.size()));
    out_.push_back(std::move(order));
}

void dispatcher::on_advice(milliseconds now, advice_reply const& r)
{
    advice_.on_reply(now, r);
    changed_ = true;
    log_decision("advice.answer", r.step.job,
                 "step=" + std::to_string(r.step.step) +
                     " result=" + to_text(r.result) +
                     " good=" + std::to_string(r.good.size()) +
                     " valid_ms=" + std::to_string(r.valid_ms));
}

} // namespace jasminetrack::tasks
