#pragma once
/// \file
/// CBOR encoding of relayed calls to the log and their answers.

#include <jasminetrack/entry/ports.hpp>

#include <variant>

namespace jasminetrack::entry
{

/// Arguments of log_port::read_newest().
struct newest_call
{
    entry::topic topic = topic::jobs;
    std::string after;
};

using relay_call = std::variant<append_call, read_call, newest_call>;

// The decoders return nothing for malformed bytes.
[[nodiscard]] std::string encode_call(relay_call const& call);
[[nodiscard]] std::optional<relay_call> decode_call(std::string const& bytes);

[[nodiscard]] std::string encode_answer(append_answer const& a);
[[nodiscard]] std::string encode_answer(read_answer const& a);
[[nodiscard]] std::string encode_answer(newest_answer const& a);
[[nodiscard]] std::optional<append_answer>
decode_append_answer(std::string const& bytes);
[[nodiscard]] std::optional<read_answer>
decode_read_answer(std::string const& bytes);
[[nodiscard]] std::optional<newest_answer>
decode_newest_answer(std::string const& bytes);

} // namespace jasminetrack::entry
