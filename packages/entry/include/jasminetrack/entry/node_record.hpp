#pragma once
/// \file
/// The record that each entry VM publishes about itself in the topic of jobs.

#include <optional>
#include <string>

namespace jasminetrack::entry
{

struct node_record
{
    std::string address;        ///< IP:port for the other entry VMs
    double processor_share = 1; ///< of its VM, in processors

    friend bool operator==(node_record const&, node_record const&) = default;
};

[[nodiscard]] std::string encode(node_record const& r);
[[nodiscard]] std::optional<node_record> decode_node(std::string const& bytes);

} // namespace jasminetrack::entry
