#include <jasminetrack/entry/dispatch_loop.hpp>

#include <jasminetrack/runtime/logging.hpp>

namespace jasminetrack::entry
{
namespace
{

using runtime::log_level;
using runtime::monotonic_ms;
using runtime::write_log;

/// While the list is not current, its next read shows that it is.
constexpr milliseconds settling_long_poll_ms = 200;

} // namespace

void dispatch_loop::on_workers(topic_page const& page)
{
    if (!dispatcher_)
        return;
    auto const now = monotonic_ms();
    std::set<std::string> seen;
    for (auto const& e : page.entries)
    {
        seen.insert(e.key);
        if (e.value.empty())
        {
            dispatcher_->unlist_worker(now, e.key);
            listed_workers_.erase(e.key);
            continue;
        }
        std::string reason;
        auto const info = ports_.decoder.worker_of(e, reason);
        if (!info)
        {
            write_log(log_level::warning, "worker.entry.skipped",
                      {{"worker", e.key}, {"reason", reason}});
            continue;
        }
        dispatcher_->put_worker(now, *info);
        listed_workers_.insert(e.key);
    }
    if (page.reloaded)
        unlist_workers_except(now, seen);
    dispatcher_->on_list_read(now, page.as_of_ms);
    workers_follower_.set_long_poll(dispatcher_->knows_workers(now)
                                        ? workers_long_poll_ms
                                        : settling_long_poll_ms);
}

/// Before the first list: the partition of the list may have been away while
/// the others were not, so its entries may be old.
void dispatch_loop::on_workers_read_failed()
{
    if (!dispatcher_)
        return;
    dispatcher_->on_list_read_failed();
    if (listed_workers_.empty())
        dispatcher_->on_log_back(monotonic_ms());
}

void dispatch_loop::unlist_workers_except(milliseconds now,
                                          std::set<std::string> const& seen)
{
    std::vector<std::string> unlisted;
    for (auto const& id : listed_workers_)
        if (seen.count(id) == 0)
            unlisted.push_back(id);
    for (auto const& id : unlisted)
    {
        dispatcher_->unlist_worker(now, id);
        listed_workers_.erase(id);
    }
}

} // namespace jasminetrack::entry
