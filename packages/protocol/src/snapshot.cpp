#include <jasminetrack/protocol/snapshot.hpp>

#include <xxhash.h>

#include <algorithm>
#include <cstdio>

namespace jasminetrack::protocol
{
namespace
{

constexpr std::size_t chunk_bytes = 128 * 1024;
constexpr std::size_t max_marks = 16;

} // namespace

std::string digest_of(bytes const& state)
{
    char text[17];
    std::snprintf(
        text, sizeof text, "%016llx",
        static_cast<unsigned long long>(XXH64(state.data(), state.size(), 0)));
    return text;
}

std::vector<core::snapshot_record> split_snapshot(bytes const& state,
                                                  core::log_offset mark)
{
    auto const count = static_cast<std::uint32_t>(
        (state.size() + chunk_bytes - 1) / chunk_bytes);
    auto const digest = digest_of(state);
    std::vector<core::snapshot_record> chunks;
    for (std::uint32_t i = 0; i < count; ++i)
    {
        auto const first = i * chunk_bytes;
        auto const size = std::min(chunk_bytes, state.size() - first);
        core::snapshot_record chunk;
        chunk.mark = mark;
        chunk.index = i;
        chunk.count = count;
        chunk.digest = digest;
        chunk.data.assign(reinterpret_cast<char const*>(state.data()) + first,
                          size);
        chunks.push_back(std::move(chunk));
    }
    return chunks;
}

void digest_votes::add(std::string const& writer,
                       core::digest_record const& vote)
{
    votes_[vote.mark][vote.digest].insert(writer);
    if (votes_.size() > max_marks)
        votes_.erase(votes_.begin());
}

bool digest_votes::matches_majority(core::log_offset mark,
                                    std::string const& digest) const
{
    auto const found = votes_.find(mark);
    if (found == votes_.end())
        return true;
    auto const own = found->second.find(digest);
    // A digest counts once even before its own vote was read back.
    std::size_t const own_votes =
        own == found->second.end() ? 1 : own->second.size();
    return std::all_of(found->second.begin(), found->second.end(),
                       [&](auto const& entry) {
                           return entry.first == digest ||
                                  entry.second.size() <= own_votes;
                       });
}

void snapshot_reader::collect(core::snapshot_record const& chunk)
{
    auto& c = found_[{chunk.mark, chunk.digest}];
    c.digest = chunk.digest;
    c.count = chunk.count;
    c.chunks[chunk.index] = chunk.data;
}

void snapshot_reader::add(std::vector<core::log_entry> const& entries)
{
    for (auto const& e : entries)
    {
        if (!entries_.empty() && e.offset != entries_.back().offset + 1)
            continue;
        entries_.push_back(e);
        if (auto const* chunk = std::get_if<core::snapshot_record>(&e.body))
            collect(*chunk);
        else if (auto const* vote = std::get_if<core::digest_record>(&e.body))
            votes_.add(e.writer, *vote);
    }
}

std::optional<core::log_offset> snapshot_reader::next() const
{
    if (entries_.empty())
        return std::nullopt;
    return entries_.back().offset + 1;
}

std::optional<core::cluster_state> snapshot_reader::restored() const
{
    for (auto it = found_.rbegin(); it != found_.rend(); ++it)
    {
        auto const& [mark, digest] = it->first;
        auto const& c = it->second;
        bool const reaches = mark + 1 >= entries_.front().offset;
        if (!reaches || c.chunks.size() != c.count ||
            !votes_.matches_majority(mark, digest))
            continue;
        bytes whole;
        for (auto const& [index, data] : c.chunks)
            whole.insert(whole.end(), data.begin(), data.end());
        if (digest_of(whole) != digest)
            continue;
        auto const state = decode_state(whole);
        if (!state)
            continue;
        auto current = state.value();
        for (auto const& e : entries_)
            if (e.offset >= current.next)
                (void)core::apply(current, e);
        return current;
    }
    return std::nullopt;
}

} // namespace jasminetrack::protocol
