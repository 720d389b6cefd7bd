/// \file
/// Tickets and settings as operators write them.

#include "section.hpp"

#include <jasminetrack/protocol/daemon_settings.hpp>
#include <jasminetrack/protocol/ticket_file.hpp>

#include <algorithm>

namespace
{

using namespace jasminetrack;
using support::expect;
using support::section;

constexpr char const* valid_ticket = R"(number: 3
author: anna
reason: more room for sorting
teams:
  - name: cork
    guarantees:
      - region: bern
        members: 8
        accelerators: 1
        adjacent: worker
services:
  - name: receipts
    team: cork
    deadline: 3s
job_classes:
  - name: sort
    team: cork
    region: bern
    accelerators: 2
    memory: 4GB
remove:
  - service/old
)";

constexpr char const* valid_settings = R"(node: entry-1
region: bern
data_center: be-1
listen: 127.0.0.1:8101
mesh: 127.0.0.1:8201
platform: 127.0.0.1:8000
)";

bool has_diagnostic(std::vector<protocol::diagnostic> const& diagnostics,
                    std::string const& key, int line)
{
    return std::any_of(diagnostics.begin(), diagnostics.end(),
                       [&](auto const& m) {
                           return m.key == key && m.at.line == line &&
                                  !m.remedy.empty();
                       });
}

class test_files : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_files);
    CPPUNIT_TEST(a_valid_ticket_is_read);
    CPPUNIT_TEST(all_errors_are_reported_at_once);
    CPPUNIT_TEST(invalid_yaml_is_reported);
    CPPUNIT_TEST(settings_are_validated);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_valid_ticket_is_read()
    {
        auto const t = protocol::parse_ticket(valid_ticket, "t.yaml");
        expect(static_cast<bool>(t), "no mistakes");
        expect(t.value.number == 3 && t.value.objects.size() == 4,
               "four objects");
        auto const& c = std::get<core::job_class>(t.value.objects[2]);
        expect(c.gang.memory_mb == 4096, "4GB");
        auto const& s = std::get<core::service>(t.value.objects[1]);
        expect(s.deadline_ms == 3000, "3s");
    }

    void all_errors_are_reported_at_once()
    {
        constexpr char const* text = R"(number: -1
author: anna
reason: test
colour: red
teams:
  - name: Cork
    guarantees:
      - region: bern
        accelerators: many
  - name: canvas
    weight: 2
    weight: 3
services:
  - name: receipts
    team: canvas
    deadline: 5
job_classes:
  - name: sort
    team: canvas
    region: bern
    adjacent: row
    memory: 4
)";
        auto const t = protocol::parse_ticket(text, "t.yaml");
        auto const& m = t.diagnostics;
        expect(has_diagnostic(m, "number", 1), "a number out of range");
        expect(has_diagnostic(m, "colour", 4), "an unknown key");
        expect(has_diagnostic(m, "teams[0].name", 6), "a name in capitals");
        expect(has_diagnostic(m, "teams[0].guarantees[0].accelerators", 9),
               "a word for a number");
        expect(has_diagnostic(m, "teams[1].weight", 12), "a key given twice");
        expect(has_diagnostic(m, "services[0].deadline", 16),
               "a time without a unit");
        expect(has_diagnostic(m, "job_classes[0].adjacent", 21),
               "an unknown choice");
        expect(has_diagnostic(m, "job_classes[0].memory", 22),
               "a size without a unit");
    }

    void invalid_yaml_is_reported()
    {
        auto const t =
            protocol::parse_ticket("number: 1\n  author: [x", "t.yaml");
        expect(t.diagnostics.size() == 1 && t.diagnostics[0].at.line == 2,
               "one mistake at line 2");
        expect(!protocol::parse_ticket("- a\n- b\n", "t.yaml"),
               "a list is no ticket");
        expect(!protocol::parse_ticket("", "t.yaml"), "nothing is no ticket");
    }

    void settings_are_validated()
    {
        auto const good = protocol::parse_settings(valid_settings, "s.yaml");
        expect(static_cast<bool>(good), "no mistakes");
        section("an address must be an IP number",
                [&]
                {
                    std::string text = valid_settings;
                    text.replace(text.find("127.0.0.1:8000"), 14,
                                 "localhost:8000");
                    auto const s = protocol::parse_settings(text, "s.yaml");
                    expect(has_diagnostic(s.diagnostics, "platform", 6),
                           "platform");
                });
        section(
            "limits and timing have units and bounds",
            [&]
            {
                std::string const text = std::string(valid_settings) +
                                         "limits:\n  body: 1\ntiming:\n"
                                         "  task_lease: 2s\n  renew_every: 2s\n"
                                         "policy:\n  completion_weight: 7\n";
                auto const s = protocol::parse_settings(text, "s.yaml");
                expect(has_diagnostic(s.diagnostics, "limits.body", 8), "body");
                expect(has_diagnostic(s.diagnostics, "timing.renew_every", 11),
                       "renew_every");
                expect(has_diagnostic(s.diagnostics, "policy.completion_weight",
                                      13),
                       "weight");
            });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_files);

} // namespace
