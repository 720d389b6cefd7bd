#pragma once
/// \file
/// State of one call while the filters of a call_chain process it.

#include "call_chain.hpp"

namespace jasminetrack::daemon
{

/// One call and the results of the filters that have processed it.
struct call_chain::call
{
    std::string service_name;
    runtime::http_request const& request;
    std::string team;
    std::string key; ///< the caller's request key
    core::service service;
    std::int64_t until_ms = 0;   ///< deadline, monotonic
    std::set<std::string> tried; ///< names of targets
    std::uint64_t sequence = 0;  ///< of the intent's append
    std::string digest;          ///< of the request body
};

} // namespace jasminetrack::daemon
