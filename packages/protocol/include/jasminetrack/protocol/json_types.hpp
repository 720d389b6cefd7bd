#pragma once
/// \file
/// JSON conversions of the core's types. Unknown fields are ignored and missing
/// ones keep their defaults, so that different versions of the program can
/// exchange messages and read each other's records.

#include <jasminetrack/core/events.hpp>
#include <jasminetrack/core/state.hpp>

#include <nlohmann/json.hpp>

namespace jasminetrack::core
{

#define JASMINETRACK_JSON NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT

NLOHMANN_JSON_SERIALIZE_ENUM(adjacency, {{adjacency::none, "none"},
                                         {adjacency::rack, "rack"},
                                         {adjacency::worker, "worker"}})
NLOHMANN_JSON_SERIALIZE_ENUM(capacity_source,
                             {{capacity_source::spare, "spare"},
                              {capacity_source::guarantee, "guarantee"}})
NLOHMANN_JSON_SERIALIZE_ENUM(worker_condition,
                             {{worker_condition::live, "live"},
                              {worker_condition::leaving, "leaving"},
                              {worker_condition::quarantined, "quarantined"},
                              {worker_condition::lost, "lost"}})
NLOHMANN_JSON_SERIALIZE_ENUM(job_change, {{job_change::withdrawn, "withdrawn"},
                                          {job_change::started, "started"},
                                          {job_change::stopping, "stopping"},
                                          {job_change::stopped, "stopped"},
                                          {job_change::done, "done"},
                                          {job_change::failed, "failed"}})
NLOHMANN_JSON_SERIALIZE_ENUM(job_state, {{job_state::waiting, "waiting"},
                                         {job_state::placed, "placed"},
                                         {job_state::running, "running"},
                                         {job_state::stopping, "stopping"},
                                         {job_state::ended, "ended"}})
NLOHMANN_JSON_SERIALIZE_ENUM(job_end, {{job_end::none, "none"},
                                       {job_end::done, "done"},
                                       {job_end::failed, "failed"},
                                       {job_end::cancelled, "cancelled"},
                                       {job_end::not_run, "not_run"},
                                       {job_end::unknown, "unknown"}})
NLOHMANN_JSON_SERIALIZE_ENUM(call_end, {{call_end::done, "done"},
                                        {call_end::not_run, "not_run"},
                                        {call_end::unknown, "unknown"}})
NLOHMANN_JSON_SERIALIZE_ENUM(desired_phase,
                             {{desired_phase::prepared, "prepared"},
                              {desired_phase::running, "running"},
                              {desired_phase::stopped, "stopped"}})
NLOHMANN_JSON_SERIALIZE_ENUM(task_phase, {{task_phase::absent, "absent"},
                                          {task_phase::pending, "pending"},
                                          {task_phase::prepared, "prepared"},
                                          {task_phase::running, "running"},
                                          {task_phase::stopping, "stopping"},
                                          {task_phase::stopped, "stopped"},
                                          {task_phase::killed, "killed"},
                                          {task_phase::done, "done"},
                                          {task_phase::failed, "failed"}})

JASMINETRACK_JSON(shape, members, accelerators, millicores, memory_mb, adjacent)
JASMINETRACK_JSON(guarantee, region, wanted, count)
JASMINETRACK_JSON(team, name, weight, spare_accelerators, guarantees)
JASMINETRACK_JSON(service, name, team, idempotent, deadline_ms, path)
JASMINETRACK_JSON(job_class, name, team, region, gang, draws_on, idempotent)
JASMINETRACK_JSON(removal, kind, name)
JASMINETRACK_JSON(worker, name, region, rack, address, accelerators, millicores,
                  memory_mb, condition, data_center)
JASMINETRACK_JSON(evacuation, move_seats, offset)
JASMINETRACK_JSON(accelerator_range, worker, first, count)

void to_json(nlohmann::json& j, config_object const& object);
void from_json(nlohmann::json const& j, config_object& object);

JASMINETRACK_JSON(ticket, number, author, reason, objects)
JASMINETRACK_JSON(configuration, teams, services, job_classes)

JASMINETRACK_JSON(ticket_record, change)
JASMINETRACK_JSON(claim_record, region, holder, incarnation, previous)
JASMINETRACK_JSON(workers_record, region, epoch, changed)
JASMINETRACK_JSON(submit_record, team, key, job_class, payload, run_hint_ms)
JASMINETRACK_JSON(cancel_record, job)
JASMINETRACK_JSON(place_record, job, epoch, places, seat, seat_places, victims)
JASMINETRACK_JSON(job_record, job, epoch, attempt, change, detail, blamed,
                  clean)
JASMINETRACK_JSON(call_record, team, key, service, digest, incarnation, expires)
JASMINETRACK_JSON(call_result_record, team, key, end, status, body)
JASMINETRACK_JSON(digest_record, mark, digest)
JASMINETRACK_JSON(snapshot_record, mark, index, count, digest, data)
JASMINETRACK_JSON(evacuate_record, data_center, evacuated, move_seats)

JASMINETRACK_JSON(job, id, team, key, job_class, region, payload, gang,
                  draws_on, idempotent, submitted, submitted_ms, started_ms,
                  ended_ms, state, cancel_wanted, calm_stop, ever_started,
                  attempt, stops, places, failed_on, seat, end, detail)
JASMINETRACK_JSON(seat, name, team, region, wanted, places)
JASMINETRACK_JSON(ownership, holder, incarnation, epoch)
JASMINETRACK_JSON(ticket_verdict, number, author, offset, accepted, reasons)
JASMINETRACK_JSON(object_version, number, offset)
JASMINETRACK_JSON(call_state, team, key, service, digest, incarnation, expires,
                  began_ms, ended, end, status, body)
JASMINETRACK_JSON(writer_position, sequence, time)
JASMINETRACK_JSON(job_class_statistics, finished, mean_run_ms)
JASMINETRACK_JSON(worker_faults, failed_jobs, quarantined_ms)
JASMINETRACK_JSON(cluster_state, next, log_time, last_mark, last_mark_ms,
                  config, versions, verdicts, owners, workers, faults, seats,
                  evacuations, jobs, job_keys, calls, writers, history)

JASMINETRACK_JSON(task_order, task, wish, place, payload, grace_ms)
JASMINETRACK_JSON(worker_order, region, epoch, sequence, lease_ms, same_as,
                  known, tasks)
JASMINETRACK_JSON(task_status, task, phase, detail)
JASMINETRACK_JSON(worker_report_event, worker, refused, resend, same, sequence,
                  tasks)

} // namespace jasminetrack::core
