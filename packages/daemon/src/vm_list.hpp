#pragma once
/// \file
/// The platform's list of VMs, reduced to the fields that are used here.

#include <jasminetrack/core/inventory.hpp>
#include <jasminetrack/core/outcome.hpp>

#include <map>
#include <string>
#include <vector>

namespace jasminetrack::daemon
{

/// Worker VMs and entry VMs.
struct vm_list
{
    std::vector<core::worker> workers;
    /// Mesh addresses (IP:port) of the entry VMs, by name.
    std::map<std::string, std::string> entry_addresses;

    friend bool operator==(vm_list const&, vm_list const&) = default;
};

/// Parses the platform's JSON: {"vms": [{"name", "role", ...}]}.
[[nodiscard]] core::outcome<vm_list> parse_vm_list(std::string const& text);

} // namespace jasminetrack::daemon
