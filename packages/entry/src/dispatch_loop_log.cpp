#include <jasminetrack/entry/dispatch_loop.hpp>

#include "log_keys.hpp"

#include <jasminetrack/runtime/logging.hpp>

namespace jasminetrack::entry
{
namespace
{

using runtime::log_level;
using runtime::monotonic_ms;
using runtime::write_log;

/// The holder's sign of life; a third of the silence that ends its role.
constexpr milliseconds sign_ms = 500;
constexpr milliseconds append_timeout_ms = 600;
constexpr char const* writer_name = "dispatcher";

} // namespace

void dispatch_loop::claim()
{
    auto const now = monotonic_ms();
    tasks::role_record const role{leadership_.newest().epoch + 1, incarnation_,
                                  false};
    write_log(log_level::info, "role.claim",
              {{"epoch", std::to_string(role.epoch)},
               {"at", std::to_string(work_next_)},
               {"previous", leadership_.newest().holder}});
    leadership_.on_claim_sent(now);
    append_call call;
    call.topic = topic::work;
    call.records.push_back({role_key, encode(role)});
    call.writer = {writer_name, role.epoch, first_sequence_};
    call.expected_end = work_next_;
    call.timeout_ms = append_timeout_ms;
    ports_.log.append(std::move(call), [this, role](append_answer const& a)
                      { post([this, role, a] { claimed(role, a); }); });
}

void dispatch_loop::claimed(tasks::role_record const& role,
                            append_answer const& a)
{
    auto const now = monotonic_ms();
    write_log(log_level::info, "role.claim.answered",
              {{"epoch", std::to_string(role.epoch)},
               {"result", to_text(a.result)},
               {"reason", a.reason}});
    if (a.result != append_result::stored)
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
    call.writer = {writer_name, term_, ++sequence_};
    call.timeout_ms = append_timeout_ms;
    append_batch_ = 0;
    if (!to_store_.empty())
    {
        append_batch_ = to_store_.front().batch;
        records.insert(records.end(), to_store_.front().records.begin(),
                       to_store_.front().records.end());
        to_store_.pop_front();
    }
    // The log does not count an append without records.
    if (records.empty())
        records.push_back(sign_of_life());
    call.records = std::move(records);
    append_ = std::move(call);
    append_begun_ = monotonic_ms();
    append_again();
}

void dispatch_loop::append_again()
{
    append_waits_ = false;
    count(&dispatch_metrics::batches);
    auto const term = term_;
    ports_.log.append(*append_, [this, term](append_answer const& a)
                      { post([this, term, a] { appended(term, a); }); });
}

void dispatch_loop::appended(std::int64_t term, append_answer const& a)
{
    if (!dispatcher_ || term != term_ || !append_)
        return;
    auto const now = monotonic_ms();
    if (a.result == append_result::fenced)
    {
        step_down("the log refused its epoch");
        return;
    }
    if (a.result == append_result::conflict)
    {
        step_down("the log expects another sequence: " + a.reason);
        return;
    }
    if (a.result != append_result::stored)
    {
        if (log_failing_since_ < 0)
        {
            log_failing_since_ = now;
            write_log(log_level::warning, "log.append.failing",
                      {{"sequence", std::to_string(append_->writer.sequence)},
                       {"result", to_text(a.result)},
                       {"reason", a.reason}});
        }
        append_waits_ = true; // the next tick repeats it
        return;
    }
    if (log_failing_since_ >= 0)
        write_log(log_level::info, "log.append.back",
                  {{"failing_ms", std::to_string(now - log_failing_since_)}});
    log_failing_since_ = -1;
    latencies_.record(latency::append, now - append_begun_);
    appended_at_ = now;
    auto const batch = append_batch_;
    append_.reset();
    if (batch > 0)
        dispatcher_->on_stored(now, batch);
    if (resigning_)
        give_sign(now);
}

tasks::log_record dispatch_loop::sign_of_life() const
{
    return {role_key, encode(tasks::role_record{term_, incarnation_, false})};
}

void dispatch_loop::give_sign(milliseconds now)
{
    if (append_)
        return;
    if (!to_store_.empty())
    {
        append({});
        return;
    }
    if (resigning_)
    {
        tasks::role_record const role{term_, incarnation_, true};
        append({{role_key, encode(role)}});
        step_down("resigned");
        return;
    }
    if (now - appended_at_ >= sign_ms)
        append({sign_of_life()});
}

} // namespace jasminetrack::entry
