#pragma once
/// \file
/// The fold's parts, one function a kind of record.

#include <jasminetrack/core/state.hpp>

namespace jasminetrack::core::detail
{

inline constexpr milliseconds keep_ended_ms = 24LL * 3600 * 1000;
inline constexpr std::size_t keep_verdicts = 200;
inline constexpr std::size_t most_failures = 3; ///< of one job
inline constexpr std::size_t quarantine_after_jobs = 3;

apply_result refused(std::string reason);
apply_result accepted(effect e);
/// For records that only readers of the log itself use.
apply_result taken_note();

apply_result apply_body(cluster_state& s, log_entry const& e,
                        ticket_record const& r);
apply_result apply_body(cluster_state& s, log_entry const& e,
                        claim_record const& r);
apply_result apply_body(cluster_state& s, log_entry const& e,
                        workers_record const& r);
apply_result apply_body(cluster_state& s, log_entry const& e,
                        submit_record const& r);
apply_result apply_body(cluster_state& s, log_entry const& e,
                        cancel_record const& r);
apply_result apply_body(cluster_state& s, log_entry const& e,
                        place_record const& r);
apply_result apply_body(cluster_state& s, log_entry const& e,
                        job_record const& r);
apply_result apply_body(cluster_state& s, log_entry const& e,
                        call_record const& r);
apply_result apply_body(cluster_state& s, log_entry const& e,
                        call_result_record const& r);
apply_result apply_body(cluster_state& s, log_entry const& e,
                        mark_record const& r);
apply_result apply_body(cluster_state& s, log_entry const& e,
                        digest_record const& r);
apply_result apply_body(cluster_state& s, log_entry const& e,
                        snapshot_record const& r);
apply_result apply_body(cluster_state& s, log_entry const& e,
                        unknown_record const& r);

/// Seats all guarantees anew after workers or the configuration changed.
void replan(cluster_state& s, apply_result& v);
/// Takes a job's places back and puts it into the queue.
void back_to_queue(cluster_state& s, job& j);
void end_job(cluster_state& s, job& j, job_end end, std::string detail);
/// Notes a failed start; may put the worker into quarantine.
void blame(cluster_state& s, std::string const& worker_name, job_id const& job,
           apply_result& v);

} // namespace jasminetrack::core::detail
