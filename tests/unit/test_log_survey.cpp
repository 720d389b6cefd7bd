/// \file
/// What entry VMs tell each other of an outage of the log, on which a
/// dispatcher's leases depend while it cannot reach the log.

#include "section.hpp"

#include <jasminetrack/entry/log_survey.hpp>
#include <jasminetrack/runtime/http_server.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <standins/http_session.hpp>

#include <future>

namespace
{

using namespace jasminetrack;
using namespace jasminetrack::entry;
using namespace support;

std::string free_address()
{
    return "127.0.0.1:" + std::to_string(standins::free_port());
}

class test_log_survey : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_log_survey);
    CPPUNIT_TEST(an_outage_is_confirmed_by_most_vms_and_denied_by_none);
    CPPUNIT_TEST(a_vm_remembers_that_it_told_of_an_outage);
    CPPUNIT_TEST(all_vms_are_asked);
    CPPUNIT_TEST_SUITE_END();

public:
    void an_outage_is_confirmed_by_most_vms_and_denied_by_none()
    {
        expect(confirms_outage({0, 0, 0}), "the only VM");
        expect(confirms_outage({2, 1, 0}), "two of three");
        expect(!confirms_outage({2, 0, 0}), "one of three");
        expect(!confirms_outage({3, 1, 0}), "two of four");
        expect(!confirms_outage({6, 5, 1}), "one of seven can read the log");
    }

    void a_vm_remembers_that_it_told_of_an_outage()
    {
        outage_reports reports;
        section("not while it can read the log",
                [&]
                {
                    reports.on_read(true);
                    expect(!reports.report(100), "no outage");
                    expect(reports.newest() == -1, "nothing was told");
                });
        section("while it cannot",
                [&]
                {
                    reports.on_read(false);
                    expect(reports.report(200), "an outage");
                    expect(reports.newest() == 200, "told");
                });
        section("not while it holds the role",
                [&]
                {
                    reports.set_leading(true);
                    expect(!reports.report(300), "no outage");
                });
    }

    void all_vms_are_asked()
    {
        outage_reports away;
        outage_reports readable;
        readable.on_read(true);
        std::string reason;
        auto const first_address = free_address();
        runtime::http_server first(first_address, {},
                                   [&](runtime::http_request const&)
                                   { return serve_log_state(away); });
        auto const second_address = free_address();
        runtime::http_server second(second_address, {},
                                    [&](runtime::http_request const&)
                                    { return serve_log_state(readable); });
        expect(first.start(reason) && second.start(reason), reason);
        peer_directory peers("self");
        peers.put("a", first_address);
        peers.put("b", second_address);
        peers.put("c", free_address());
        runtime::http_client client;
        log_survey survey(client, peers);
        std::promise<survey_answers> answers;
        survey.ask([&](survey_answers const& a) { answers.set_value(a); });
        expect(answers.get_future().get() == survey_answers{3, 1, 1},
               "one VM without an answer");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_log_survey);

} // namespace
