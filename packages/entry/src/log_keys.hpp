#pragma once
/// \file
/// Keys of the records that are not jobs. No job id has one of these forms.

#include <string_view>

namespace jasminetrack::entry
{

/// Key of the dispatcher's role in the topic of work. Another key there is
/// tasks::speed_record_key.
inline constexpr char const* role_key = "role";
/// With a job's id, the key of its cancellation in the topic of jobs.
inline constexpr std::string_view cancel_prefix = "cancel/";
/// With a node's name, the key of its node_record in the topic of jobs.
inline constexpr std::string_view node_prefix = "node/";

} // namespace jasminetrack::entry
