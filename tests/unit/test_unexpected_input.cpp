/// \file
/// Records, messages and errors that no part of the product produces. They come
/// from other writers of the log, from other builds of the product, or from a
/// fault; they must end neither a process nor its work.

#include "entry_cluster.hpp"
#include "section.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <stdexcept>

namespace
{

using namespace jasminetrack;
using namespace jasminetrack::entry;
using nlohmann::json;
using support::entry_cluster;
using support::expect;
using support::section;

std::string cbor(json const& value)
{
    auto const bytes = json::to_cbor(value);
    return {bytes.begin(), bytes.end()};
}

class test_unexpected_input : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_unexpected_input);
    CPPUNIT_TEST(malformed_relayed_calls_are_rejected);
    CPPUNIT_TEST(unreadable_records_are_skipped);
    CPPUNIT_TEST(an_error_in_the_dispatcher_costs_only_the_role);
    CPPUNIT_TEST_SUITE_END();

public:
    void malformed_relayed_calls_are_rejected()
    {
        support::memory_log log;
        auto const status_of = [&](std::string const& body)
        {
            runtime::http_request r;
            r.method = "POST";
            r.path = "/relay";
            r.body = body;
            return serve_relay(log, r).status;
        };
        expect(status_of(cbor({"newest", 0, ""})) == 200, "a valid call");
        for (auto const& body :
             {std::string(), std::string("\xff\xff"), cbor({}), cbor("newest"),
              cbor({"newest"}), cbor({"newest", 9, ""}),
              cbor({"newest", -1, ""}), cbor({"read", 4, 0, 0}),
              cbor({"append", 77, "n", 1, 1, nullptr, 5, json::array()}),
              cbor({"append", 0, "n", 1, 1, nullptr, 5, 5}),
              cbor({"unknown", 0, ""})})
            expect(status_of(body) == 400, "rejected: " + body);
    }

    void unreadable_records_are_skipped()
    {
        entry_cluster cluster(2);
        for (auto const t : {topic::jobs, topic::work})
            for (auto const& value :
                 {std::string("\xff"), std::string("\x00\x01", 2), cbor({}),
                  cbor(7), cbor({{"id", "odd"}, {"steps", 3}}),
                  cbor({{"id", "odd"}, {"spec", json::object()}}),
                  cbor({1, "x", false})})
                for (auto const* key : {"odd", "role", "worker-speeds",
                                        "node/odd", "cancel/odd", ""})
                    cluster.log.put(t, key, value);
        section("jobs are served on",
                [&]
                {
                    expect(cluster.wait_until_ready(), "ready");
                    expect(cluster.submit("a"), "accepted");
                    expect(cluster.wait_for_completion("a"), "completed");
                });
    }

    void an_error_in_the_dispatcher_costs_only_the_role()
    {
        entry_cluster cluster(2);
        expect(cluster.wait_until_ready(), "ready");
        cluster.workers.fail_next_start("unexpected state");
        expect(cluster.submit("a"), "accepted");
        expect(cluster.wait_for_completion("a"), "completed after a take-over");
        for (auto const& [task, count] : cluster.workers.starts())
            expect(count == 1, "no task was started twice");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_unexpected_input);

} // namespace
