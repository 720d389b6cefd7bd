#pragma once
/// \file
/// Forward declarations of the core package.

namespace jasminetrack::core
{
struct accelerator_range;
struct cluster_state;
struct error;
struct job;
struct job_class;
struct seat;
struct service;
struct shape;
struct team;
struct ticket;
struct worker;
class node;
class occupancy;
class placement_policy;
} // namespace jasminetrack::core
