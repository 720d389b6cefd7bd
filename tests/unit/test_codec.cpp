/// \file
/// CBOR of records, pages, peers and orders; damaged and future input.

#include "section.hpp"

#include <jasminetrack/protocol/codec.hpp>

#include <nlohmann/json.hpp>

#include <random>

namespace
{

using namespace jasminetrack;
using support::expect;
using support::section;

protocol::bytes sample_record()
{
    core::place_record place;
    place.job = "j1";
    place.epoch = 7;
    place.places = {{"w1", 0, 2}, {"w2", 4, 2}};
    place.victims = {"j0"};
    return protocol::encode(protocol::written_record{"n0.1", 42, place});
}

class test_codec : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_codec);
    CPPUNIT_TEST(a_record_round_trips);
    CPPUNIT_TEST(unknown_kinds_and_fields_are_accepted);
    CPPUNIT_TEST(damaged_input_does_not_crash_the_decoders);
    CPPUNIT_TEST(an_undecodable_record_does_not_fail_its_page);
    CPPUNIT_TEST(peer_messages_and_orders_round_trip);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_record_round_trips()
    {
        auto const r = protocol::decode_record(sample_record());
        expect(static_cast<bool>(r), "decodes");
        expect(r.value().writer == "n0.1" && r.value().sequence == 42,
               "writer and sequence");
        auto const& place = std::get<core::place_record>(r.value().body);
        expect(place.places.size() == 2 && place.places[1].worker == "w2",
               "places");
    }

    void unknown_kinds_and_fields_are_accepted()
    {
        auto j = nlohmann::json::from_cbor(sample_record());
        section("a new kind",
                [&]
                {
                    j["k"] = "of-tomorrow";
                    auto const r =
                        protocol::decode_record(nlohmann::json::to_cbor(j));
                    expect(std::holds_alternative<core::unknown_record>(
                               r.value().body),
                           "unknown");
                });
        section("a new field",
                [&]
                {
                    j["k"] = "place";
                    j["b"]["colour"] = "red";
                    auto const r =
                        protocol::decode_record(nlohmann::json::to_cbor(j));
                    expect(std::holds_alternative<core::place_record>(
                               r.value().body),
                           "still a placement");
                });
    }

    void damaged_input_does_not_crash_the_decoders()
    {
        auto const good = sample_record();
        for (std::size_t cut = 0; cut < good.size(); ++cut)
            expect(!protocol::decode_record(
                       {good.begin(),
                        good.begin() + static_cast<std::ptrdiff_t>(cut)}),
                   "cut at " + std::to_string(cut));
        constexpr std::uint32_t seeds = 2000;
        for (std::uint32_t seed = 1; seed <= seeds; ++seed)
        {
            std::mt19937 random(seed);
            auto bad = good;
            bad[random() % bad.size()] ^=
                static_cast<std::uint8_t>(1u << (random() % 8));
            (void)protocol::decode_record(bad); // must not crash
            (void)protocol::decode_peer_message(bad);
            (void)protocol::decode_page(bad);
            (void)protocol::decode_state(bad);
        }
    }

    void an_undecodable_record_does_not_fail_its_page()
    {
        protocol::stored_page page;
        page.end = 2;
        page.records.push_back({0, 5, {1, 2, 3}});
        page.records.push_back({1, 6, sample_record()});
        auto const decoded = protocol::decode_page(protocol::encode(page));
        expect(static_cast<bool>(decoded), "the page decodes");
        auto const& entries = decoded.value().entries;
        expect(entries.size() == 2, "both records");
        expect(std::holds_alternative<core::unknown_record>(entries[0].body),
               "the bad one is unknown");
        expect(entries[1].sequence == 42, "the next one is whole");
    }

    void peer_messages_and_orders_round_trip()
    {
        protocol::peer_message m;
        m.node = "a";
        m.next = 9;
        m.sent_ms = 11;
        m.echo_ms = 12;
        m.relayed.push_back({8, 5, "w", 3, core::cancel_record{"j"}});
        auto const peer = protocol::decode_peer_message(protocol::encode(m));
        expect(peer && peer.value().relayed.size() == 1 &&
                   peer.value().echo_ms == 12,
               "peer");
        core::worker_order order;
        order.epoch = 4;
        order.tasks.push_back(
            {"j.1.0", core::desired_phase::running, {"w", 0, 1}, "p", 5});
        auto const text = protocol::to_json_text(order);
        expect(protocol::parse_order(text).value() == order, "order");
        expect(!protocol::parse_order(text.substr(0, 10)), "cut order");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_codec);

} // namespace
