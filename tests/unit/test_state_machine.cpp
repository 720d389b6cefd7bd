/// \file
/// The fold: tickets, ownership, repeats, calls; and that it is one fold.

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

/// A log that one writer fills.
struct writer
{
    cluster_state state;
    std::vector<log_entry> log;
    std::uint64_t sequence = 0;
    std::string name = "a";
    milliseconds time = 1000;

    apply_result write(record body)
    {
        return put({log.size(), ++time, name, ++sequence, std::move(body)});
    }
    apply_result put(log_entry e)
    {
        e.offset = log.size();
        log.push_back(e);
        return apply(state, e);
    }
    /// An owner and `count` workers with 8 accelerators.
    void open_region(int count)
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
    CPPUNIT_TEST(tickets_only_rise);
    CPPUNIT_TEST(operators_race);
    CPPUNIT_TEST(unseatable_guarantees_are_refused_by_name);
    CPPUNIT_TEST(repeats_are_dropped);
    CPPUNIT_TEST(an_old_epoch_changes_nothing);
    CPPUNIT_TEST(guaranteed_work_is_no_victim);
    CPPUNIT_TEST(jobs_that_can_never_run_are_refused);
    CPPUNIT_TEST(a_call_is_taken_once);
    CPPUNIT_TEST(random_records_keep_the_invariants);
    CPPUNIT_TEST(a_snapshot_goes_on_like_the_log);
    CPPUNIT_TEST(unknown_records_change_nothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void tickets_only_rise()
    {
        writer w;
        w.open_region(4);
        expect(w.write(ticket_record{simple_ticket(5, "cork", "bern", 2)})
                   .accepted,
               "number 5 is accepted");
        section("an older number is refused",
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
        section(
            "the very same ticket is in force already",
            [&]
            {
                expect(
                    w.write(ticket_record{simple_ticket(5, "cork", "bern", 2)})
                        .accepted,
                    "accepted");
                expect(w.state.versions.at("team/cork").number == 5, "still 5");
            });
        section("other objects have numbers of their own",
                [&]
                {
                    expect(w.write(ticket_record{
                                       simple_ticket(2, "canvas", "bern", 1)})
                               .accepted,
                           "number 2 for another team");
                });
    }

    void operators_race()
    {
        writer w;
        w.open_region(4);
        auto const first = simple_ticket(1, "cork", "bern", 1);
        auto const second = simple_ticket(1, "cork", "bern", 2);
        w.name = "operator-a";
        auto const a = w.write(ticket_record{first});
        w.name = "operator-b";
        auto const b = w.write(ticket_record{second});
        expect(a.accepted && !b.accepted, "the first in the log wins");
        expect(w.state.seats.size() == 1, "its state is in force");
        expect(w.state.verdicts.size() == 2, "both verdicts are kept");
    }

    void unseatable_guarantees_are_refused_by_name()
    {
        writer w;
        w.open_region(4);
        expect(w.write(ticket_record{simple_ticket(1, "cork", "bern", 3)})
                   .accepted,
               "three of four workers");
        auto const v =
            w.write(ticket_record{simple_ticket(2, "canvas", "bern", 2)});
        expect(!v.accepted, "two more do not fit");
        expect(v.reason.find("team canvas") != std::string::npos &&
                   v.reason.find("rack r0") != std::string::npos,
               v.reason);
        expect(w.state.config.teams.count("canvas") == 0,
               "nothing of it is in force");
    }

    void repeats_are_dropped()
    {
        writer w;
        w.open_region(4);
        (void)w.write(ticket_record{simple_ticket(1, "cork", "bern", 1)});
        auto const old = w.log.back();
        (void)w.write(ticket_record{simple_ticket(2, "cork", "bern", 2)});
        auto const v = w.put(old);
        expect(!v.accepted && v.reason == "repeat", "a delayed repeat");
        expect(w.state.seats.size() == 2, "ticket 2 stays in force");
    }

    void an_old_epoch_changes_nothing()
    {
        writer w;
        w.open_region(4);
        auto const old = w.epoch();
        (void)w.write(claim_record{"bern", "n1", "n1.1", old});
        (void)w.write(ticket_record{simple_ticket(1, "cork", "bern", 1)});
        auto const id =
            w.write(submit_record{"cork", "k", "cork-sure", "", 0}).id;
        placement_round round(w.state, {}, "bern", {});
        auto place = *round.decide(w.state.jobs.at(id));
        place.epoch = old;
        expect(!w.write(place).accepted, "the old owner's placement");
        place.epoch = w.epoch();
        expect(w.write(place).accepted, "the new owner's placement");
        section(
            "a second claim from the same epoch loses",
            [&]
            {
                expect(
                    !w.write(claim_record{"bern", "n2", "n2.1", old}).accepted,
                    "refused");
            });
    }

    void guaranteed_work_is_no_victim()
    {
        writer w;
        w.open_region(2);
        (void)w.write(ticket_record{simple_ticket(1, "cork", "bern", 1)});
        (void)w.write(ticket_record{simple_ticket(1, "canvas", "bern", 1)});
        auto const first =
            w.write(submit_record{"cork", "a", "cork-sure", "", 0}).id;
        placement_round round(w.state, {}, "bern", {});
        auto taken = *round.decide(w.state.jobs.at(first));
        taken.epoch = w.epoch();
        expect(w.write(taken).accepted, "the first stands on its seat");
        auto const second =
            w.write(submit_record{"canvas", "b", "canvas-spare", "", 0}).id;
        place_record greedy = taken;
        greedy.job = second;
        greedy.seat.clear();
        greedy.seat_places.clear();
        greedy.victims = {first};
        auto const v = w.write(greedy);
        expect(!v.accepted &&
                   v.reason.find("runs on a guarantee") != std::string::npos,
               "it cannot be named a victim: " + v.reason);
    }

    void jobs_that_can_never_run_are_refused()
    {
        writer w;
        w.open_region(2);
        auto t =
            simple_ticket(1, "cork", "bern", 0, {3, 8, 0, 0, adjacency::none});
        expect(w.write(ticket_record{t}).accepted, "ticket");
        auto const v = w.write(submit_record{"cork", "k", "cork-spare", "", 0});
        expect(!v.accepted, "refused");
        expect(v.reason.find("can never run") != std::string::npos, v.reason);
    }

    void a_call_is_taken_once()
    {
        writer w;
        w.name = "n0.1";
        call_record const call{"cork", "label-1", "labels", "d", "n0.1", 9};
        expect(w.write(call).accepted, "the first");
        w.name = "n1.1";
        w.sequence = 0;
        call_record other = call;
        other.incarnation = "n1.1";
        expect(!w.write(other).accepted, "not the second");
        call_result_record result{"cork", "label-1", call_end::done, 200,
                                  "label"};
        expect(!w.write(result).accepted, "only the sender may end it");
        section("after a refusal the key may be used again",
                [&]
                {
                    w.name = "n0.1";
                    w.sequence = 10;
                    result.end = call_end::not_run;
                    expect(w.write(result).accepted, "not run");
                    w.name = "n1.1";
                    w.sequence = 10;
                    expect(w.write(other).accepted, "taken by another");
                });
    }

    /// No accelerator has two holders, unless one makes room.
    static std::string find_double_holder(cluster_state const& s)
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

    /// A guaranteed job of every team with an untouched seat can be placed
    /// at once.
    static std::string find_lost_guarantee(cluster_state const& s)
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
            w.open_region(6);
            (void)w.write(ticket_record{simple_ticket(1, "cork", "bern", 2)});
            (void)w.write(ticket_record{simple_ticket(
                1, "canvas", "bern", 2, {4, 1, 0, 0, adjacency::worker})});
            for (int step = 0; step < steps; ++step)
            {
                random_step(w, random, step);
                auto const where = "seed " + std::to_string(seed) + " step " +
                                   std::to_string(step) + ": ";
                auto const shared = find_double_holder(w.state);
                expect(shared.empty(), where + shared);
                auto const lost = find_lost_guarantee(w.state);
                expect(lost.empty(), where + lost);
            }
            cluster_state again;
            for (auto const& e : w.log)
                (void)apply(again, e);
            expect(again == w.state, "a second fold gives the same state");
        }
    }

    static void random_step(writer& w, std::mt19937& random, int step)
    {
        auto const pick = [&](int most)
        { return std::uniform_int_distribution<int>(0, most)(random); };
        static constexpr char const* classes[] = {
            "cork-sure", "cork-spare", "canvas-sure", "canvas-spare"};
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
            expect(v.accepted, "the fold takes what was decided: " + v.reason);
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

    void a_snapshot_goes_on_like_the_log()
    {
        std::mt19937 random(7);
        writer w;
        w.open_region(6);
        (void)w.write(ticket_record{simple_ticket(1, "cork", "bern", 2)});
        for (int step = 0; step < 60; ++step)
            random_step(w, random, step);
        auto const half = protocol_round_trip(w.state);
        expect(half == w.state, "the snapshot is the state");
        writer resumed = w;
        resumed.state = half;
        for (int step = 60; step < 90; ++step)
        {
            std::mt19937 a(static_cast<std::uint32_t>(step));
            std::mt19937 b(static_cast<std::uint32_t>(step));
            random_step(w, a, step);
            random_step(resumed, b, step);
        }
        expect(resumed.state == w.state, "both go on alike");
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
        w.open_region(4);
        auto before = w.state;
        expect(!w.write(unknown_record{"of-tomorrow"}).accepted, "skipped");
        before.next = w.state.next;
        before.log_time = w.state.log_time;
        before.writers = w.state.writers;
        expect(before == w.state, "nothing but the position moved");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_state_machine);

} // namespace
