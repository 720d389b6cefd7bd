#pragma once
/// \file
/// Application of records to the state, one overload for each kind of record.

#include <jasminetrack/core/state.hpp>

namespace jasminetrack::core::detail
{

inline constexpr milliseconds ended_retention_ms = 24LL * 3600 * 1000;
inline constexpr std::size_t max_verdicts = 200;
inline constexpr std::size_t max_job_failures = 3; ///< of one job
inline constexpr std::size_t quarantine_threshold_jobs = 3;

apply_result refused(std::string reason);
apply_result accepted(effect e);
/// \returns the result for records that do not change the state.
apply_result accepted_without_effects();

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
                        evacuate_record const& r);
apply_result apply_body(cluster_state& s, log_entry const& e,
                        unknown_record const& r);

/// Plans all seats again after a change of the workers or the guarantees.
void replan_seats(cluster_state& s, apply_result& v);
/// Plans all seats again if a seat in an evacuated data center is no longer in
/// use and may move.
void replan_vacated_seats(cluster_state& s, apply_result& v);
/// Frees a job's places and puts it back into the queue.
void requeue_job(cluster_state& s, job& j);
/// Ends a job and frees its places.
void end_job(cluster_state& s, job& j, job_end end, std::string detail);
/// Records a job's failure on a worker; quarantines the worker after
/// quarantine_threshold_jobs different jobs without a success.
void record_failure(cluster_state& s, std::string const& worker_name,
                    job_id const& job, apply_result& v);

} // namespace jasminetrack::core::detail
