#pragma once
/// \file
/// Snapshots of the state in the log itself: a mark at which every node
/// takes a digest, then the state at the mark in chunks.

#include <jasminetrack/protocol/codec.hpp>

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace jasminetrack::protocol
{

/// \returns a digest of the state's CBOR form, 16 hexadecimal digits.
[[nodiscard]] std::string digest_of(bytes const& state);

/// \returns the chunks of a state taken at a mark.
[[nodiscard]] std::vector<core::snapshot_record>
split_snapshot(bytes const& state, core::log_offset mark);

/// Digests that nodes took at marks; the most common one is right.
class digest_votes
{
public:
    void add(std::string const& writer, core::digest_record const& vote);
    /// \returns false if more nodes took another digest at this mark.
    [[nodiscard]] bool matches_majority(core::log_offset mark,
                                        std::string const& digest) const;

private:
    /// Writers of each digest.
    using writers_by_digest = std::map<std::string, std::set<std::string>>;
    std::map<core::log_offset, writers_by_digest> votes_;
};

/// Finds a whole snapshot in the part of the log that is left.
///
/// Feed it entries in order from the oldest one. Once `restored` gives a
/// state, that state already includes the entries fed after the mark.
class snapshot_reader
{
public:
    void add(std::vector<core::log_entry> const& entries);
    /// \returns the state after the last entry added, when a snapshot whose
    /// mark is among the entries was complete and whole.
    [[nodiscard]] std::optional<core::cluster_state> restored() const;
    /// Offset after the last entry added; nothing if there was none.
    [[nodiscard]] std::optional<core::log_offset> next() const;

private:
    /// Chunks of one snapshot, by index.
    struct partial_snapshot
    {
        std::string digest;
        std::map<std::uint32_t, std::string> chunks;
        std::uint32_t count = 0;
    };

    void collect(core::snapshot_record const& chunk);

    std::deque<core::log_entry> entries_;
    digest_votes votes_;
    std::map<std::pair<core::log_offset, std::string>, partial_snapshot> found_;
};

} // namespace jasminetrack::protocol
