#include <jasminetrack/entry/dispatch_loop.hpp>

namespace jasminetrack::entry
{
namespace
{

using runtime::monotonic_ms;

} // namespace

void dispatch_loop::perform_actions()
{
    dispatcher_->tick(monotonic_ms(), runtime::wall_ms());
    for (auto const& a : dispatcher_->take_actions())
        std::visit([this](auto const& order) { perform(order); }, a);
    if (dispatcher_->deposed())
        step_down("a worker has accepted a higher fencing token");
}

void dispatch_loop::perform(tasks::renew_order const& o)
{
    count(&dispatch_metrics::lease_renewals);
    auto const epoch = epoch_;
    ports_.workers.renew_lease(
        o,
        [this, epoch, token = o.token](tasks::renew_reply r)
        {
            r.token = token;
            post(
                [this, epoch, r = std::move(r)]
                {
                    if (dispatcher_ && epoch == epoch_)
                        dispatcher_->on_renew(monotonic_ms(), r);
                });
        });
}

void dispatch_loop::perform(tasks::start_order const& o)
{
    count(&dispatch_metrics::starts);
    auto const epoch = epoch_;
    ports_.workers.start(
        o,
        [this, epoch, token = o.token,
         sent = monotonic_ms()](tasks::start_reply r)
        {
            r.token = token;
            latencies_.record(latency::start, monotonic_ms() - sent);
            post(
                [this, epoch, r = std::move(r)]
                {
                    if (dispatcher_ && epoch == epoch_)
                        dispatcher_->on_start(monotonic_ms(), r);
                });
        });
}

void dispatch_loop::perform(tasks::stop_order const& o)
{
    count(&dispatch_metrics::stops);
    auto const epoch = epoch_;
    ports_.workers.stop(
        o,
        [this, epoch, o, sent = monotonic_ms()](tasks::call_result result)
        {
            latencies_.record(latency::stop, monotonic_ms() - sent);
            post(
                [this, epoch, o, result]
                {
                    if (dispatcher_ && epoch == epoch_)
                        dispatcher_->on_stop(
                            monotonic_ms(), {o.worker, o.run, result, o.token});
                });
        });
}

void dispatch_loop::perform(tasks::store_order const& o)
{
    store_queue_.push_back(o);
    if (!append_in_flight_)
        append({});
}

void dispatch_loop::perform(tasks::advice_order const& o)
{
    auto const epoch = epoch_;
    ports_.workers.advise(o,
                          [this, epoch](tasks::advice_reply const& r)
                          {
                              post(
                                  [this, epoch, r]
                                  {
                                      if (dispatcher_ && epoch == epoch_)
                                          dispatcher_->on_advice(monotonic_ms(),
                                                                 r);
                                  });
                          });
}

} // namespace jasminetrack::entry
