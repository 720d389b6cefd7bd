#pragma once
/// \file
/// Keys of the records that are not jobs. None of them can be a job's id.

#include <string_view>

namespace jasminetrack::entry
{

/// The dispatcher's role, in the topic of work.
inline constexpr char const* role_key = "role";
/// Before a job's id, in the topic of jobs: the job is cancelled.
inline constexpr std::string_view cancel_prefix = "cancel/";
/// Before a node's name, in the topic of jobs: its record.
inline constexpr std::string_view node_prefix = "node/";

} // namespace jasminetrack::entry
