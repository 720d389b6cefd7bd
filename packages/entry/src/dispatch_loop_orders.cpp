#include <jasminetrack/entry/dispatch_loop.hpp>

namespace jasminetrack::entry
{
namespace
{

using runtime::monotonic_ms;

} // namespace

void dispatch_loop::drain_actions()
{
    dispatcher_->tick(monotonic_ms(), runtime::wall_ms());
    for (auto const& a : dispatcher_->take_actions())
        std::visit([this](auto const& order) { perform(order); }, a);
    if (dispatcher_->deposed())
        step_down("a worker knows a higher token");
}

void dispatch_loop::perform(tasks::renew_order const& o)
{
    count(&dispatch_metrics::lease_renewals);
    auto const term = term_;
    ports_.workers.renew_lease(o,
                               [this, term](tasks::renew_reply const& r)
                               {
                                   post(
                                       [this, term, r]
                                       {
                                           if (dispatcher_ && term == term_)
                                               dispatcher_->on_renew(
                                                   monotonic_ms(), r);
                                       });
                               });
}

void dispatch_loop::perform(tasks::start_order const& o)
{
    count(&dispatch_metrics::starts);
    auto const term = term_;
    ports_.workers.start(
        o,
        [this, term, sent = monotonic_ms()](tasks::start_reply const& r)
        {
            latencies_.record(latency::start, monotonic_ms() - sent);
            post(
                [this, term, r]
                {
                    if (dispatcher_ && term == term_)
                        dispatcher_->on_start(monotonic_ms(), r);
                });
        });
}

void dispatch_loop::perform(tasks::stop_order const& o)
{
    count(&dispatch_metrics::stops);
    auto const term = term_;
    ports_.workers.stop(
        o,
        [this, term, o, sent = monotonic_ms()](tasks::call_result result)
        {
            latencies_.record(latency::stop, monotonic_ms() - sent);
            post(
                [this, term, o, result]
                {
                    if (dispatcher_ && term == term_)
                        dispatcher_->on_stop(monotonic_ms(),
                                             {o.worker, o.run, result});
                });
        });
}

void dispatch_loop::perform(tasks::store_order const& o)
{
    to_store_.push_back(o);
    if (!append_)
        append({});
}

void dispatch_loop::perform(tasks::advice_order const& o)
{
    auto const term = term_;
    ports_.workers.advise(o,
                          [this, term](tasks::advice_reply const& r)
                          {
                              post(
                                  [this, term, r]
                                  {
                                      if (dispatcher_ && term == term_)
                                          dispatcher_->on_advice(monotonic_ms(),
                                                                 r);
                                  });
                          });
}

} // namespace jasminetrack::entry
