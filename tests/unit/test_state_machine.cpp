/// \file
/// State machine over the log: tickets, ownership, repeated records, calls,
/// snapshots. Replaying the same records must give the same state.

#include "cluster_simulation.hpp"
#include "section.hpp"

#include <jasminetrack/core/policy.hpp>
#include <jasminetrack/protocol/codec.hpp>

#include <iostream>

namespace
{

using namespace jasminetrack::core;
using support::expect;
using support::section;
using support::simple_ticket;

/// A log with the state after its last record, and one writer.
struct writer
{
    cluster_state state;
    std::vector<log_entry> log;
    std::uint64_t sequence = 0;
    std::string name = "a";
    milliseconds time = 1000;

    apply_result write(record body)
    {
        return append({log.size(), ++time, name, ++sequence, std::move(body)});
    }
    apply_result append(log_entry e)
    {
        e.offset = log.size();
        log.push_back(e);
        return apply(state, e);
    }
    /// Adds an owner and `count` workers with 8 accelerators each.
    void set_up_region(int count)
    {
        (void)write(claim_record{"bern", "n0", "n0.1", 0});
        std::vector<worker> workers;
        for (int i = 0; i < count; ++i)
            workers.push_back({"w" + std::to_string(i), "bern",
                               "r" + std::to_string(i / 4), "a", 8, 64000,
                               256000, worker_condition::live});
        (void)write(
            workers_record{"bern", state.owners["bern"].epoch, workers});
    }
    [[nodiscard]] epoch_number epoch() const
    {
        return state.owners.at("bern").epoch;
    }
};

class test_state_machine : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_state_machine);
    CPPUNIT_TEST(ticket_numbers_only_increase);
    CPPUNIT_TEST(concurrent_tickets_are_ordered_by_the_log);
    CPPUNIT_TEST(guarantees_without_capacity_are_refused);
    CPPUNIT_TEST(repeated_records_are_dropped);
    CPPUNIT_TEST(records_of_an_old_epoch_are_rejected);
    CPPUNIT_TEST(guaranteed_jobs_cannot_be_preempted);
    CPPUNIT_TEST(jobs_that_can_never_run_are_refused);
    CPPUNIT_TEST(a_call_is_accepted_once);
    CPPUNIT_TEST(random_records_keep_the_invariants);
    CPPUNIT_TEST(a_restored_snapshot_behaves_like_the_log);
    CPPUNIT_TEST(unknown_records_change_nothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void ticket_numbers_only_increase()
    {
        writer w;
        w.set_up_region(4);
        expect(w.write(ticket_record{simple_ticket(5, "cork", "bern", 2)})
                   .accepted,
               "number 5 is accepted");
        section("a lower number is refused",
                [&]
                {
                    auto const v = w.write(
                        ticket_record{simple_ticket(4, "cork", "bern", 1)});
                    expect(!v.accepted, "refused");
                    expect(v.reason.find("team/cork is at ticket 5") !=
                               std::string::npos,
                           v.reason);
                });
        section("the same number with other content is refused",
                [&]
                {
                    expect(!w.write(ticket_record{
                                        simple_ticket(5, "cork", "bern", 1)})
                                .accepted,
                           "refused");
                });
        section("an identical ticket is accepted again",
                [&]
                {
                    expect(w.write(ticket_record{
                                       simple_ticket(5, "cork", "bern", 2)})
                               .accepted,
                           "accepted");
                    expect(w.state.versions.at("team/cork").number == 5,
                           "the version stays 5");
                });
        section("each object has its own number",
                [&]
                {
                    expect(w.write(ticket_record{
                                       simple_ticket(2, "canvas", "bern", 1)})
                               .accepted,
                           "number 2 for another team");
                });
    }

    void concurrent_tickets_are_ordered_by_the_log()
    {
        writer w;
        w.set_up_region(4);
        auto const first = simple_ticket(1, "cork", "bern", 1);
        auto const second = simple_ticket(1, "cork", "bern", 2);
        w.name = "operator-a";
        auto const a = w.write(ticket_record{first});
        w.name = "operator-b";
        auto const b = w.write(ticket_record{second});
        expect(a.accepted && !b.accepted,
               "only the first in the log is accepted");
        expect(w.state.seats.size() == 1,
               "the configuration is that of the first");
        expect(w.state.verdicts.size() == 2, "both verdicts are stored");
    }

    void guarantees_without_capacity_are_refused()
    {
        writer w;
        w.set_up_region(4);
        expect(w.write(ticket_record{simple_ticket(1, "cork", "bern", 3)})
                   .accepted,
               "three guarantees fit on four workers");
        auto const v =
            w.write(ticket_record{simple_ticket(2, "canvas", "bern", 2)});
        expect(!v.accepted, "two more do not fit");
        expect(v.reason.find("team canvas") != std::string::npos &&
                   v.reason.find("rack r0") != std::string::npos,
               v.reason);
        expect(w.state.config.teams.count("canvas") == 0,
               "no object of the refused ticket is applied");
    }

    void repeated_records_are_dropped()
    {
        writer w;
        w.set_up_region(4);
        (void)w.write(ticket_record{simple_ticket(1, "cork", "bern", 1)});
        auto const old = w.log.back();
        (void)w.write(ticket_record{simple_ticket(2, "cork", "bern", 2)});
        auto const v = w.append(old);
        expect(!v.accepted && v.reason == "repeat",
               "a record that is delivered twice is dropped");
        expect(w.state.seats.size() == 2, "ticket 2 stays in force");
    }

    void records_of_an_old_epoch_are_rejected()
    {
        writer w;
        w.set_up_region(4);
        auto const old = w.epoch();
        (void)w.write(claim_record{"bern", "n1", "n1.1", old});
        (void)w.write(ticket_record{simple_ticket(1, "cork", "bern", 1)});
        auto const id =
            w.write(submit_record{"cork", "k", "cork-guaranteed", "", 0}).id;
        placement_round round(w.state, {}, "bern", {});
        auto place = *round.decide(w.state.jobs.at(id));
        place.epoch = old;
        expect(!w.write(place).accepted,
               "the old owner's placement is rejected");
        place.epoch = w.epoch();
        expect(w.write(place).accepted,
               "the new owner's placement is accepted");
        section(
            "a second claim with the same previous epoch is rejected",
            [&]
            {
                expect(
                    !w.write(claim_record{"bern", "n2", "n2.1", old}).accepted,
                    "refused");
            });
    }

    void guaranteed_jobs_cannot_be_preempted()
    {
        writer w;
        w.set_up_region(2);
        (void)w.write(ticket_record{simple_ticket(1, "cork", "bern", 1)});
        (void)w.write(ticket_record{simple_ticket(1, "canvas", "bern", 1)});
        auto const first =
            w.write(submit_record{"cork", "a", "cork-guaranteed", "", 0}).id;
        placement_round round(w.state, {}, "bern", {});
        auto placed = *round.decide(w.state.jobs.at(first));
        placed.epoch = w.epoch();
        expect(w.write(placed).accepted, "the first job is placed on its seat");
        auto const second =
            w.write(submit_record{"canvas", "b", "canvas-spare", "", 0}).id;
        place_record preempting = placed;
        preempting.job = second;
        preempting.seat.clear();
        preempting.seat_places.clear();
        preempting.victims = {first};
        auto const v = w.write(preempting);
        expect(!v.accepted &&
                   v.reason.find("runs on a guarantee") != std::string::npos,
               "a guaranteed job must not be a victim: " + v.reason);
    }

    void jobs_that_can_never_run_are_refused()
    {
        writer w;
        w.set_up_region(2);
        auto t =
            simple_ticket(1, "cork", "bern", 0, {3, 8, 0, 0, adjacency::none});
        expect(w.write(ticket_record{t}).accepted, "ticket");
        auto const v = w.write(submit_record{"cork", "k", "cork-spare", "", 0});
        expect(!v.accepted, "refused");
        expect(v.reason.find("can never run") != std::string::npos, v.reason);
    }

    void a_call_is_accepted_once()
    {
        writer w;
        w.name = "n0.1";
        call_record const call{"cork", "label-1", "labels", "d", "n0.1", 9};
        expect(w.write(call).accepted, "the first call is accepted");
        w.name = "n1.1";
        w.sequence = 0;
        call_record other = call;
        other.incarnation = "n1.1";
        expect(!w.write(other).accepted,
               "a second call with the key is rejected");
        call_result_record result{"cork", "label-1", call_end::done, 200,
                                  "label"};
        expect(!w.write(result).accepted,
               "only the sender may record the result");
        section("after the result not_run the key may be used again",
                [&]
                {
                    w.name = "n0.1";
                    w.sequence = 10;
                    result.end = call_end::not_run;
                    expect(w.write(result).accepted, "the result is accepted");
                    w.name = "n1.1";
                    w.sequence = 10;
                    expect(w.write(other).accepted,
                           "another node records the call");
                });
    }

    /// \returns a violation of: no accelerator is held by two jobs, unless one
    /// of them is being stopped.
    static std::string find_doubly_held_accelerator(cluster_state const& s)
    {
        std::map<std::string, accelerator_mask> held;
        for (auto const& [id, j] : s.jobs)
        {
            if (!holds_places(j) || j.state == job_state::stopping)
                continue;
            for (auto const& [name, mask] : masks_of(j.places))
            {
                if ((held[name] & mask) != 0)
                    return id + " shares an accelerator on " + name;
                held[name] |= mask;
            }
        }
        return {};
    }

    /// \returns a violation of: for each unused seat with places, a guaranteed
    /// job of its team can be placed immediately.
    static std::string find_unreclaimable_seat(cluster_state const& s)
    {
        auto const used = seats_in_use(s);
        for (auto const& [name, seat] : s.seats)
        {
            if (used.count(name) != 0 || seat.places.empty())
                continue;
            job probe;
            probe.id = "probe";
            probe.team = seat.team;
            probe.region = seat.region;
            probe.gang = seat.wanted;
            probe.draws_on = capacity_source::guarantee;
            probe.submitted = UINT64_MAX;
            placement_round round(s, {}, seat.region, {});
            if (!round.decide(probe))
                return "seat " + name + " cannot be reclaimed";
        }
        return {};
    }

    void random_records_keep_the_invariants()
    {
        constexpr std::uint32_t seeds = 60;
        constexpr int steps = 120;
        for (std::uint32_t seed = 1; seed <= seeds; ++seed)
        {
            std::mt19937 random(seed);
            writer w;
            w.set_up_region(6);
            (void)w.write(ticket_record{simple_ticket(1, "cork", "bern", 2)});
            (void)w.write(ticket_record{simple_ticket(
                1, "canvas", "bern", 2, {4, 1, 0, 0, adjacency::worker})});
            for (int step = 0; step < steps; ++step)
            {
                random_step(w, random, step);
                auto const where = "seed " + std::to_string(seed) + " step " +
                                   std::to_string(step) + ": ";
                auto const shared = find_doubly_held_accelerator(w.state);
                expect(shared.empty(), where + shared);
                auto const lost = find_unreclaimable_seat(w.state);
                expect(lost.empty(), where + lost);
            }
            cluster_state replayed;
            for (auto const& e : w.log)
                (void)apply(replayed, e);
            expect(replayed == w.state,
                   "a replay of the log gives the same state");
        }
    }

    static void random_step(writer& w, std::mt19937& random, int step)
    {
        auto const pick = [&](int most)
        { return std::uniform_int_distribution<int>(0, most)(random); };
        static constexpr char const* classes[] = {
            "cork-guaranteed", "cork-spare", "canvas-guaranteed",
            "canvas-spare"};
        switch (pick(3))
        {
        case 0:
        {
            std::string const c = classes[pick(3)];
            (void)w.write(submit_record{c.substr(0, c.find('-')),
                                        std::to_string(step), c, "", 0});
            break;
        }
        case 1:
            place_all(w);
            break;
        case 2:
            advance_one(w, random);
            break;
        default:
            change_worker(w, pick(5), pick(2) == 0);
        }
    }

    static void place_all(writer& w)
    {
        placement_round round(w.state, {}, "bern", {});
        std::vector<place_record> decided;
        for (auto const* j : queue_order(w.state, "bern", {}))
            if (auto place = round.decide(*j))
                decided.push_back(*place);
        for (auto& place : decided)
        {
            place.epoch = w.epoch();
            auto const v = w.write(place);
            expect(v.accepted, "a decided placement is accepted: " + v.reason);
        }
    }

    static void advance_one(writer& w, std::mt19937& random)
    {
        std::vector<job> held;
        for (auto const& [id, j] : w.state.jobs)
            if (holds_places(j))
                held.push_back(j);
        if (held.empty())
            return;
        auto const& j = held[random() % held.size()];
        job_record r;
        r.job = j.id;
        r.epoch = w.epoch();
        r.attempt = j.attempt;
        r.change = j.state == job_state::placed    ? job_change::started
                   : j.state == job_state::running ? job_change::done
                                                   : job_change::stopped;
        (void)w.write(r);
    }

    static void change_worker(writer& w, int index, bool lose)
    {
        auto changed = w.state.workers.at("w" + std::to_string(index));
        changed.condition =
            lose ? worker_condition::lost : worker_condition::live;
        (void)w.write(workers_record{"bern", w.epoch(), {changed}});
    }

    void a_restored_snapshot_behaves_like_the_log()
    {
        std::mt19937 random(7);
        writer w;
        w.set_up_region(6);
        (void)w.write(ticket_record{simple_ticket(1, "cork", "bern", 2)});
        for (int step = 0; step < 60; ++step)
            random_step(w, random, step);
        auto const restored = protocol_round_trip(w.state);
        expect(restored == w.state, "the decoded snapshot equals the state");
        writer resumed = w;
        resumed.state = restored;
        for (int step = 60; step < 90; ++step)
        {
            std::mt19937 a(static_cast<std::uint32_t>(step));
            std::mt19937 b(static_cast<std::uint32_t>(step));
            random_step(w, a, step);
            random_step(resumed, b, step);
        }
        expect(resumed.state == w.state, "both reach the same state");
    }

    static cluster_state protocol_round_trip(cluster_state const& s)
    {
        auto const decoded = jasminetrack::protocol::decode_state(
            jasminetrack::protocol::encode(s));
        expect(static_cast<bool>(decoded), "the state decodes");
        return decoded.value();
    }

    void unknown_records_change_nothing()
    {
        writer w;
        w.set_up_region(4);
        auto before = w.state;
        expect(!w.write(unknown_record{"of-tomorrow"}).accepted,
               "it is rejected");
        before.next = w.state.next;
        before.log_time = w.state.log_time;
        before.writers = w.state.writers;
        expect(before == w.state, "only the position and the time change");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_state_machine);

} // namespace
