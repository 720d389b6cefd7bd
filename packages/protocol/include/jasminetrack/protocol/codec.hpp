#pragma once
/// \file
/// Encoding of log records, of messages between entry VMs and of snapshots as
/// CBOR, and of messages to and from workers as JSON.

#include <jasminetrack/core/events.hpp>
#include <jasminetrack/core/outcome.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace jasminetrack::protocol
{

using bytes = std::vector<std::uint8_t>;

/// A record as its writer appends it to the log.
struct written_record
{
    std::string writer;         ///< incarnation of the writing process
    std::uint64_t sequence = 0; ///< of the record, counted by its writer
    core::record body;
};

[[nodiscard]] bytes encode(written_record const& r);
/// A record of a kind that this version does not know becomes an
/// `unknown_record`. Data that is not a record is an error.
[[nodiscard]] core::outcome<written_record> decode_record(bytes const& data);

/// A record as the platform stores it: opaque bytes at an offset.
struct stored_record
{
    std::uint64_t offset = 0;
    std::int64_t time = 0; ///< ms since 1970
    bytes data;
};

/// The response of the platform's log to a read.
struct stored_page
{
    std::uint64_t first = 0; ///< oldest offset that the log still has
    std::uint64_t end = 0;   ///< offset after the newest record
    std::vector<stored_record> records;
};

/// A `stored_page` with its records decoded.
struct log_page
{
    std::uint64_t first = 0; ///< oldest offset that the log still has
    std::uint64_t end = 0;   ///< offset after the newest record
    std::vector<core::log_entry> entries;
};

[[nodiscard]] bytes encode(stored_page const& page);
/// A record that cannot be decoded becomes an `unknown_record` without a
/// writer; only a damaged page is an error.
[[nodiscard]] core::outcome<log_page> decode_page(bytes const& data);

/// Encodes several records for one append request.
[[nodiscard]] bytes encode_batch(std::vector<bytes> const& records);
[[nodiscard]] core::outcome<std::vector<bytes>> decode_batch(bytes const& data);

/// A heartbeat between entry VMs, with log records that the receiver lacks.
struct peer_message
{
    std::string node;
    std::string incarnation;
    std::string region;
    std::uint64_t next = 0;      ///< log offset that the sender reads next
    std::int64_t log_age_ms = 0; ///< since the sender last read the log's end
    bool draining = false;
    std::int64_t sent_ms = 0; ///< by the sender's clock
    std::int64_t echo_ms = 0; ///< newest `sent_ms` received from the receiver
    std::vector<core::log_entry> relayed; ///< records that the receiver lacks
};

[[nodiscard]] bytes encode(peer_message const& m);
[[nodiscard]] core::outcome<peer_message>
decode_peer_message(bytes const& data);

/// Encodes and decodes the complete state, for snapshots.
[[nodiscard]] bytes encode(core::cluster_state const& state);
[[nodiscard]] core::outcome<core::cluster_state>
decode_state(bytes const& data);

/// Orders to workers and their reports, as JSON text.
[[nodiscard]] std::string to_json_text(core::worker_order const& order);
[[nodiscard]] core::outcome<core::worker_order>
parse_order(std::string const& text);
[[nodiscard]] std::string to_json_text(core::worker_report_event const& report);
[[nodiscard]] core::outcome<core::worker_report_event>
parse_report(std::string const& text);

} // namespace jasminetrack::protocol
