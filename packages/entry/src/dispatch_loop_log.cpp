#include <jasminetrack/entry/dispatch_loop.hpp>

#include "log_keys.hpp"

#include <jasminetrack/runtime/logging.hpp>
#include <jasminetrack/tasks/fencing.hpp>

#include <algorithm>
#include <utility>

namespace jasminetrack::entry
{
namespace
{

using runtime::log_level;
using runtime::monotonic_ms;
using runtime::write_log;

/// A third of the time without a heartbeat after which other nodes claim the
/// role.
constexpr milliseconds heartbeat_interval_ms = 500;
constexpr milliseconds claim_timeout_ms = 600;
/// Without a confirmed append for this time, the log may be away for all.
constexpr milliseconds survey_after_ms = 1'000;
constexpr milliseconds survey_interval_ms = 500;
constexpr char const* writer_name = "dispatcher";

} // namespace

void dispatch_loop::claim()
{
    auto const now = monotonic_ms();
    tasks::role_record const role{
        tasks::next_epoch(leadership_.newest().epoch), incarnation_, false, {}};
    write_log(
        log_level::info, "role.claim",
        {{"epoch", std::to_string(role.epoch)},
         {"at", std::to_string(work_next_)},
         {"previous", leadership_.newest().holder},
         {"silent_ms", std::to_string(now - leadership_.heartbeat_at())},
         {"readable_ms",
          std::to_string(now - leadership_.readable_since().value_or(now))}});
    earlier_proof_ms_ = leadership_.earlier_proof();
    leadership_.on_claim_sent(now);
    claim_sent_ms_ = now;
    append_call call;
    call.topic = topic::work;
    call.records.push_back({role_key, encode(role)});
    call.writer = {writer_name, role.epoch, first_sequence_};
    call.expected_end = work_next_;
    call.timeout_ms = claim_timeout_ms;
    ports_.log.append(std::move(call), [this, role](append_answer const& a)
                      { post([this, role, a] { on_claim_answer(role, a); }); });
}

void dispatch_loop::on_claim_answer(tasks::role_record const& role,
                                    append_answer const& a)
{
    auto const now = monotonic_ms();
    write_log(log_level::info, "role.claim.answered",
              {{"epoch", std::to_string(role.epoch)},
               {"result", to_text(a.result)},
               {"reason", a.reason}});
    if (a.result != append_result::stored ||
        !tasks::leadership::confirms_role(now, claim_sent_ms_))
    {
        leadership_.on_claim_lost(now);
        return;
    }
    leadership_.on_claim_stored(now, role);
    if (leadership_.leading())
        take_over();
}

void dispatch_loop::append(std::vector<tasks::log_record> records)
{
    append_call call;
    call.topic = topic::work;
    call.writer = {writer_name, epoch_, ++sequence_};
    store_batch_ = 0;
    if (!store_queue_.empty())
    {
        store_batch_ = store_queue_.front().batch;
        records.insert(records.end(), store_queue_.front().records.begin(),
                       store_queue_.front().records.end());
        store_queue_.pop_front();
    }
    // Other appends delay the heartbeat, which carries the load.
    if (is_load_due(monotonic_ms()) &&
        std::none_of(records.begin(), records.end(),
                     [](auto const& r) { return r.key == role_key; }))
        records.push_back(heartbeat_record());
    // The log does not advance the sequence for an append without records.
    if (records.empty())
        records.push_back(heartbeat_record());
    call.records = std::move(records);
    append_in_flight_ = std::move(call);
    append_started_ms_ = monotonic_ms();
    send_append();
}

void dispatch_loop::send_append()
{
    append_retry_pending_ = false;
    append_sent_ms_ = monotonic_ms();
    append_in_flight_->timeout_ms = append_timeout_.limit();
    count(&dispatch_metrics::batches);
    auto const epoch = epoch_;
    ports_.log.append(
        *append_in_flight_, [this, epoch](append_answer const& a)
        { post([this, epoch, a] { on_append_answer(epoch, a); }); });
}

void dispatch_loop::on_append_answer(std::int64_t epoch, append_answer const& a)
{
    if (!dispatcher_ || epoch != epoch_ || !append_in_flight_)
        return;
    auto const now = monotonic_ms();
    if (a.result == append_result::fenced)
    {
        step_down("the log has stored an append of a higher epoch");
        return;
    }
    if (a.result == append_result::conflict)
    {
        step_down("the log expects another sequence than " +
                  std::to_string(append_in_flight_->writer.sequence) + ": " +
                  a.reason);
        return;
    }
    if (a.result != append_result::stored)
    {
        record_failed_append(now, a);
        return;
    }
    if (!tasks::leadership::confirms_role(now, append_sent_ms_))
    {
        write_log(
            log_level::warning, "log.append.late",
            {{"sequence", std::to_string(append_in_flight_->writer.sequence)},
             {"answer_ms", std::to_string(now - append_sent_ms_)}});
        append_retry_pending_ = true; // the log confirms it again, or refuses
        return;
    }
    record_stored_append(now);
    auto const batch = store_batch_;
    append_in_flight_.reset();
    if (batch > 0)
        dispatcher_->on_stored(now, batch);
    if (resigning_)
        append_if_due(now);
}

/// The next tick repeats the append.
void dispatch_loop::record_failed_append(milliseconds now,
                                         append_answer const& a)
{
    append_retry_pending_ = true;
    if (a.result == append_result::unknown)
        append_timeout_.on_missing_answer();
    if (log_failing_since_ms_ >= 0)
        return;
    log_failing_since_ms_ = now;
    write_log(log_level::warning, "log.append.failing",
              {{"sequence", std::to_string(append_in_flight_->writer.sequence)},
               {"result", to_text(a.result)},
               {"reason", a.reason}});
}

void dispatch_loop::record_stored_append(milliseconds now)
{
    if (log_failing_since_ms_ >= 0)
        write_log(
            log_level::info, "log.append.back",
            {{"failing_ms", std::to_string(now - log_failing_since_ms_)}});
    log_failing_since_ms_ = -1;
    append_timeout_.on_answer(now - append_sent_ms_);
    latencies_.record(latency::append, now - append_started_ms_);
    last_append_ms_ = role_confirmed_ms_ = now;
    dispatcher_->role().on_confirmed(append_started_ms_);
}

void dispatch_loop::survey_outage(milliseconds now)
{
    if (survey_open_ || now - role_confirmed_ms_ < survey_after_ms ||
        now - surveyed_ms_ < survey_interval_ms)
        return;
    survey_open_ = true;
    surveyed_ms_ = now;
    outages_.survey.ask(
        [this, epoch = epoch_, now](survey_answers const& a)
        { post([this, epoch, now, a] { on_survey(epoch, now, a); }); });
}

void dispatch_loop::on_survey(std::int64_t epoch, milliseconds asked_at,
                              survey_answers const& a)
{
    survey_open_ = false;
    if (!dispatcher_ || epoch != epoch_)
        return;
    bool const confirmed = confirms_outage(a);
    if (confirmed)
        dispatcher_->role().on_outage_confirmed(asked_at);
    if (confirmed == std::exchange(outage_confirmed_, confirmed))
        return;
    write_log(log_level::info, "log.outage.surveyed",
              {{"confirmed", confirmed ? "yes" : "no"},
               {"asked", std::to_string(a.asked)},
               {"away", std::to_string(a.away)},
               {"readable", std::to_string(a.readable)}});
}

bool dispatch_loop::is_load_due(milliseconds now) const
{
    return settings_.limits.shed_load && dispatcher_ &&
           now - load_sent_ms_ >= heartbeat_interval_ms;
}

tasks::log_record dispatch_loop::heartbeat_record()
{
    tasks::role_record role{epoch_, incarnation_, false, {}};
    if (settings_.limits.shed_load && dispatcher_)
    {
        load_sent_ms_ = monotonic_ms();
        role.load = encode(dispatcher_->read_load(load_sent_ms_));
    }
    return {role_key, encode(role)};
}

void dispatch_loop::give_up_role(std::string const& why)
{
    tasks::role_record const role{epoch_, incarnation_, true, {}};
    append({{role_key, encode(role)}});
    step_down(why);
}

void dispatch_loop::append_if_due(milliseconds now)
{
    if (append_in_flight_)
        return;
    if (!store_queue_.empty())
    {
        append({});
        return;
    }
    if (resigning_)
    {
        give_up_role("resigned");
        return;
    }
    if (now - last_append_ms_ >= heartbeat_interval_ms)
        append({heartbeat_record()});
}

} // namespace jasminetrack::entry
