#include "node_driver.hpp"

#include <jasminetrack/runtime/logging.hpp>

namespace jasminetrack::daemon
{
namespace
{

using runtime::log_level;
using runtime::monotonic_ms;
using runtime::write_log;

constexpr std::uint64_t few_records = 100; ///< no new snapshot for less
constexpr std::size_t marks_kept = 16;
constexpr std::int64_t mark_every_ms = 3'600'000; ///< if anything happened
constexpr std::int64_t mark_pause_ms = 5000;      ///< between two marks

} // namespace

bool node_driver::diverged() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return diverged_;
}

void node_driver::apply_entries(std::vector<core::log_entry> const& entries)
{
    keep_recent(entries);
    auto const now = monotonic_ms();
    core::log_entries_event batch;
    for (auto const& e : entries)
    {
        batch.entries.push_back(e);
        if (auto const* vote = std::get_if<core::digest_record>(&e.body))
            count_vote(e, *vote);
        if (!std::holds_alternative<core::mark_record>(e.body))
            continue;
        perform(node_.step(now, batch));
        batch.entries.clear();
        if (node_.state().next == e.offset + 1)
            on_mark(e);
    }
    if (!batch.entries.empty())
        perform(node_.step(now, batch));
    log_.set_next(node_.state().next);
}

void node_driver::on_mark(core::log_entry const& mark)
{
    auto const state = protocol::encode(node_.state());
    auto const digest = protocol::digest_of(state);
    own_digests_[mark.offset] = digest;
    if (own_digests_.size() > marks_kept)
        own_digests_.erase(own_digests_.begin());
    log_.append(core::digest_record{mark.offset, digest});
    if (mark.writer != incarnation_)
        return;
    for (auto& chunk : protocol::split_snapshot(state, mark.offset))
        log_.append(std::move(chunk));
    write_log(log_level::info, "snapshot.write",
              {{"offset", std::to_string(mark.offset)},
               {"bytes", std::to_string(state.size())}});
}

void node_driver::count_vote(core::log_entry const& e,
                             core::digest_record const& vote)
{
    votes_.add(e.writer, vote);
    auto const own = own_digests_.find(vote.mark);
    if (diverged_ || own == own_digests_.end() ||
        votes_.matches_majority(vote.mark, own->second))
        return;
    diverged_ = true;
    write_log(log_level::error, "snapshot.compare",
              {{"offset", std::to_string(vote.mark)},
               {"reason", "this node's state differs from the others'; "
                          "it steps aside"}});
    perform(node_.step(monotonic_ms(), core::drain_event{}));
}

void node_driver::recover_from(std::uint64_t first)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    if (!recovery_)
        write_log(log_level::warning, "log.recover",
                  {{"first", std::to_string(first)},
                   {"reason", "older records are gone; looking for a "
                              "snapshot"}});
    recovery_.emplace();
    log_.set_next(first);
}

bool node_driver::recover(protocol::log_page const& page)
{
    recovery_->add(page.entries);
    keep_recent(page.entries);
    auto const next = recovery_->next();
    if (next)
        log_.set_next(*next);
    if (!next || *next < page.end)
        return false;
    auto state = recovery_->restored();
    if (!state || state->next < node_.state().next)
        return false;
    write_log(log_level::info, "log.recover",
              {{"next", std::to_string(state->next)},
               {"reason", "state restored from a snapshot"}});
    node_.restore(std::move(*state));
    recovery_.reset();
    return true;
}

/// The owner of the first region writes the snapshots.
void node_driver::mark_if_due()
{
    auto const& s = node_.state();
    bool const mine = !s.owners.empty() &&
                      s.owners.begin()->second.incarnation == incarnation_;
    auto const records = s.next - s.last_mark;
    auto const many = static_cast<std::uint64_t>(settings_.snapshot_records);
    bool const old = s.log_time - s.last_mark_ms >= mark_every_ms;
    bool const due = records >= many || (old && records > few_records);
    auto const now = monotonic_ms();
    if (!mine || !due || diverged_ || now - marked_ms_ < mark_pause_ms)
        return;
    marked_ms_ = now;
    log_.append(core::mark_record{});
}

} // namespace jasminetrack::daemon
