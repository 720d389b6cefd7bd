#pragma once
/// \file
/// CBOR of what goes to the log, between entry VMs and to workers.

#include <jasminetrack/core/events.hpp>
#include <jasminetrack/core/outcome.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace jasminetrack::protocol
{

using bytes = std::vector<std::uint8_t>;

/// A record with its writer, as appended to the log.
struct written_record
{
    std::string writer; ///< incarnation of the process
    std::uint64_t sequence = 0;
    core::record body;
};

[[nodiscard]] bytes encode(written_record const& r);
/// A record of a kind not known here becomes an `unknown_record`.
[[nodiscard]] core::outcome<written_record> decode_record(bytes const& data);

/// A record as the platform keeps it: bytes at an offset.
struct stored_record
{
    std::uint64_t offset = 0;
    std::int64_t time = 0; ///< ms since 1970
    bytes data;
};

/// What the platform's log answers to a reader.
struct stored_page
{
    std::uint64_t first = 0;
    std::uint64_t end = 0;
    std::vector<stored_record> records;
};

/// The same with the records decoded.
struct log_page
{
    std::uint64_t first = 0; ///< oldest offset that the log still has
    std::uint64_t end = 0;   ///< offset after the newest record
    std::vector<core::log_entry> entries;
};

[[nodiscard]] bytes encode(stored_page const& page);
/// Bytes that are no record become an `unknown_record` without a writer.
[[nodiscard]] core::outcome<log_page> decode_page(bytes const& data);

/// Several records for one append.
[[nodiscard]] bytes encode_batch(std::vector<bytes> const& records);
[[nodiscard]] core::outcome<std::vector<bytes>> decode_batch(bytes const& data);

/// Between entry VMs: a heartbeat, with log records that the other lacks.
struct peer_message
{
    std::string node;
    std::string incarnation;
    std::string region;
    std::uint64_t next = 0; ///< log offset that the sender wants next
    std::int64_t log_age_ms = 0;
    bool draining = false;
    std::int64_t sent_ms = 0; ///< by the sender's clock
    std::int64_t echo_ms = 0; ///< newest `sent_ms` had from the receiver
    std::vector<core::log_entry> relayed;
};

[[nodiscard]] bytes encode(peer_message const& m);
[[nodiscard]] core::outcome<peer_message>
decode_peer_message(bytes const& data);

/// The whole state, for a snapshot.
[[nodiscard]] bytes encode(core::cluster_state const& state);
[[nodiscard]] core::outcome<core::cluster_state>
decode_state(bytes const& data);

/// To and from workers, as JSON text.
[[nodiscard]] std::string to_json_text(core::worker_order const& order);
[[nodiscard]] core::outcome<core::worker_order>
parse_order(std::string const& text);
[[nodiscard]] std::string to_json_text(core::worker_report_event const& report);
[[nodiscard]] core::outcome<core::worker_report_event>
parse_report(std::string const& text);

} // namespace jasminetrack::protocol
