/// \file
/// Snapshots: chunks, damage, votes, and reading on behind them.

#include "cluster_simulation.hpp"
#include "section.hpp"

#include <jasminetrack/protocol/snapshot.hpp>

namespace
{

using namespace jasminetrack;
using support::expect;
using support::section;

/// A log with work, a mark and the snapshot behind it.
struct log_with_snapshot
{
    std::vector<core::log_entry> entries;
    core::cluster_state state;
    core::log_offset mark = 0;
    std::uint64_t sequence = 0;

    void write(core::record body, std::string const& writer = "a")
    {
        core::log_entry const e{entries.size(), 1000, writer, ++sequence,
                                std::move(body)};
        entries.push_back(e);
        (void)core::apply(state, e);
    }

    explicit log_with_snapshot(int workers)
    {
        write(core::claim_record{"bern", "n", "n.1", 0});
        add_workers(workers);
        mark = entries.size();
        write(core::mark_record{});
        auto const whole = protocol::encode(state);
        for (auto const& chunk : protocol::split_snapshot(whole, mark))
            write(chunk);
        write(
            core::ticket_record{support::simple_ticket(1, "cork", "bern", 1)});
    }

    void add_workers(int count)
    {
        core::workers_record r{"bern", state.owners["bern"].epoch, {}};
        for (int i = 0; i < count; ++i)
            r.changed.push_back({"w" + std::to_string(i), "bern", "r0",
                                 "127.0.0.1:1", 8, 64000, 256000,
                                 core::worker_condition::live});
        write(r);
    }

    [[nodiscard]] std::vector<core::log_entry>
    entries_from(core::log_offset first) const
    {
        return {entries.begin() + static_cast<std::ptrdiff_t>(first),
                entries.end()};
    }
};

class test_snapshots : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_snapshots);
    CPPUNIT_TEST(entries_after_the_mark_are_applied);
    CPPUNIT_TEST(an_incomplete_snapshot_is_not_used);
    CPPUNIT_TEST(the_majority_digest_is_accepted);
    CPPUNIT_TEST_SUITE_END();

public:
    void entries_after_the_mark_are_applied()
    {
        log_with_snapshot log(4000);
        expect(log.entries.size() > log.mark + 4, "several chunks");
        protocol::snapshot_reader reader;
        reader.add(log.entries_from(log.mark));
        auto const restored = reader.restored();
        expect(restored.has_value(), "restored");
        expect(*restored == log.state, "to the state of the log's end");
        expect(restored->config.teams.count("cork") == 1,
               "with what came after the mark");
    }

    void an_incomplete_snapshot_is_not_used()
    {
        log_with_snapshot log(4000);
        section("its first record is gone",
                [&]
                {
                    protocol::snapshot_reader reader;
                    reader.add(log.entries_from(log.mark + 2));
                    expect(!reader.restored(), "not used");
                });
        section("a chunk is damaged",
                [&]
                {
                    auto entries = log.entries_from(log.mark);
                    std::get<core::snapshot_record>(entries[2].body).data[7] ^=
                        1;
                    protocol::snapshot_reader reader;
                    reader.add(entries);
                    expect(!reader.restored(), "not used");
                });
        section("two writers are half done",
                [&]
                {
                    auto entries = log.entries_from(log.mark);
                    auto& other =
                        std::get<core::snapshot_record>(entries[2].body);
                    other.digest = "0000000000000000";
                    protocol::snapshot_reader reader;
                    reader.add(entries);
                    expect(!reader.restored(), "chunks do not mix");
                });
    }

    void the_majority_digest_is_accepted()
    {
        protocol::digest_votes votes;
        votes.add("a", {7, "x"});
        expect(votes.matches_majority(7, "y"),
               "one against one decides nothing");
        votes.add("b", {7, "x"});
        expect(!votes.matches_majority(7, "y"), "two against none do");
        expect(votes.matches_majority(7, "x"), "the common one holds");
        votes.add("c", {7, "y"});
        expect(!votes.matches_majority(7, "y"), "nor does one against two");
        votes.add("d", {7, "y"});
        votes.add("b", {7, "x"});
        expect(votes.matches_majority(7, "y"), "a repeat is no second vote");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_snapshots);

} // namespace
