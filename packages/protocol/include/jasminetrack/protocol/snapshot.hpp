#pragma once
/// \file
/// Snapshots of the state, stored in the log itself. A mark record defines the
/// offset; every node writes a digest of its state there, and one writes that
/// state in chunks.

#include <jasminetrack/protocol/codec.hpp>

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace jasminetrack::protocol
{

/// \returns the XXH64 digest of an encoded state as 16 hexadecimal digits.
[[nodiscard]] std::string digest_of(bytes const& state);

/// \param state the encoded state
/// \param mark  offset of the mark record at which it was encoded
/// \returns the state as chunk records, in order.
[[nodiscard]] std::vector<core::snapshot_record>
split_snapshot(bytes const& state, core::log_offset mark);

/// The digests that nodes wrote at the newest marks. If they differ at a mark,
/// the digest of most nodes is taken to be correct.
class digest_votes
{
public:
    /// A second digest record with the same writer, mark and digest has no
    /// effect.
    void add(std::string const& writer, core::digest_record const& vote);
    /// \returns false if more nodes wrote another digest at this mark.
    [[nodiscard]] bool matches_majority(core::log_offset mark,
                                        std::string const& digest) const;

private:
    /// The writers of each digest.
    using writers_by_digest = std::map<std::string, std::set<std::string>>;
    std::map<core::log_offset, writers_by_digest> votes_;
};

/// Restores the state from a complete snapshot in the untrimmed part of the
/// log.
///
/// Add the entries in order, from the oldest one. The state that `restored`
/// returns includes the entries added after the mark.
class snapshot_reader
{
public:
    void add(std::vector<core::log_entry> const& entries);
    /// \returns the state after the last added entry; nothing if there is no
    /// snapshot that is complete, has the correct digest and whose mark or the
    /// entry after it was added.
    [[nodiscard]] std::optional<core::cluster_state> restored() const;
    /// \returns the offset after the last added entry, if any.
    [[nodiscard]] std::optional<core::log_offset> next() const;

private:
    /// The chunks found of one snapshot.
    struct partial_snapshot
    {
        std::string digest;
        std::map<std::uint32_t, std::string> chunks; ///< by index
        std::uint32_t count = 0; ///< chunks of the complete snapshot
    };

    void collect(core::snapshot_record const& chunk);

    std::deque<core::log_entry> entries_;
    digest_votes votes_;
    std::map<std::pair<core::log_offset, std::string>, partial_snapshot>
        snapshots_;
};

} // namespace jasminetrack::protocol
