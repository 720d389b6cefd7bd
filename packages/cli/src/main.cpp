#include "commands.hpp"

#include <jasminetrack/runtime/http_server.hpp>

#include <CLI/CLI.hpp>

namespace
{

using namespace jasminetrack::cli;

constexpr char const* description =
    "jasminetrack: submit jobs, call services, apply change tickets.\n\n"
    "Examples:\n"
    "  jasminetrack --entry 127.0.0.1:8101 status\n"
    "  jasminetrack ticket check ticket-1.yaml\n"
    "  jasminetrack ticket apply ticket-1.yaml\n"
    "  jasminetrack call counter-receipts --team ledger --file r.json\n"
    "  jasminetrack submit --team ledger --class sort-batch --key lot-7\n"
    "  jasminetrack result j12 --wait 60000\n"
    "  jasminetrack explain j12\n"
    "  jasminetrack evacuate be-1\n"
    "  jasminetrack restore be-1\n"
    "  jasminetrack timeline --html timeline.html\n"
    "  jasminetrack why 9f7c806f7735ca6d vm-*.log\n"
    "  jasminetrack losses vm-*.log\n\n"
    "Exit codes: 0 done, 1 refused (not run), 2 usage, 3 outcome unknown,\n"
    "4 no entry VM reached.";

/// The command line parser, and the values that it fills in.
struct command_line
{
    CLI::App app{description};
    common_options common;
    submit_options submit_args;
    call_options call_args;
    std::string team;
    std::string job;
    std::string file;
    std::string html;
    std::string data_center;
    std::vector<std::string> files;
    std::int64_t wait_ms = 0;
    int exit_code = exit_usage;

    command_line()
    {
        app.require_subcommand(1);
        app.add_option("--entry", common.entries,
                       "IP:PORT of entry VMs, tried in this order")
            ->envname("JASMINETRACK_ENTRIES")
            ->delimiter(',')
            ->default_val(std::vector<std::string>{"127.0.0.1:8101"});
        app.add_flag("--json", common.json, "print answers as JSON");
        add_requests();
        add_job_commands();
        add_tickets();
        add_evacuations();
        add_views();
    }

    void add_requests()
    {
        auto* s = app.add_subcommand("submit", "submit a gang job");
        s->add_option("--team", submit_args.team)->required();
        s->add_option("--class", submit_args.job_class)->required();
        s->add_option("--key", submit_args.key,
                      "request key; a repeated key refers to the same job");
        s->add_option("--payload", submit_args.payload);
        s->callback([this] { exit_code = submit(common, submit_args); });

        auto* c = app.add_subcommand("call", "call a service");
        c->add_option("service", call_args.service)->required();
        c->add_option("--team", call_args.team)->required();
        c->add_option("--key", call_args.key,
                      "request key; use the same key to repeat the call");
        c->add_option("--file", call_args.file,
                      "request body; -: standard input")
            ->required();
        c->add_option("--deadline-ms", call_args.deadline_ms);
        c->callback([this] { exit_code = call(common, call_args); });
    }

    void add_job_commands()
    {
        auto* r = app.add_subcommand("result", "print a job's result");
        r->add_option("job", job)->required();
        r->add_option("--wait", wait_ms, "ms to wait for the job to end");
        r->callback([this] { exit_code = result(common, job, wait_ms); });

        auto* e = app.add_subcommand("explain", "print why a job waits");
        e->add_option("job", job)->required();
        e->callback([this] { exit_code = explain(common, job); });

        auto* c = app.add_subcommand("cancel", "cancel a job");
        c->add_option("job", job)->required();
        c->callback([this] { exit_code = cancel(common, job); });

        auto* l = app.add_subcommand("jobs", "list jobs");
        l->add_option("--team", team);
        l->callback([this] { exit_code = jobs(common, team); });
    }

    void add_tickets()
    {
        auto* t = app.add_subcommand("ticket", "change tickets");
        t->require_subcommand(1);
        auto* check = t->add_subcommand("check", "validate a file, offline");
        check->add_option("file", file)->required();
        check->callback([this] { exit_code = ticket_check(common, file); });
        auto* apply = t->add_subcommand("apply", "put a ticket in force");
        apply->add_option("file", file)->required();
        apply->callback([this] { exit_code = ticket_apply(common, file); });
        auto* show = t->add_subcommand("show", "print tickets in force");
        show->callback([this] { exit_code = ticket_show(common); });
    }

    void add_evacuations()
    {
        auto* e = app.add_subcommand(
            "evacuate", "place nothing new in a data center until it is "
                        "restored; what runs there runs on");
        e->add_option("data-center", data_center)->required();
        e->callback([this] { exit_code = evacuate(common, data_center); });
        auto* r = app.add_subcommand(
            "restore", "return an evacuated data center to service");
        r->add_option("data-center", data_center)->required();
        r->callback([this] { exit_code = restore(common, data_center); });
    }

    void add_views()
    {
        auto* s = app.add_subcommand("status", "print the state of the system");
        s->callback([this] { exit_code = status(common); });
        auto* t =
            app.add_subcommand("timeline", "print events of all entry VMs");
        t->add_option("--html", html, "write an HTML page to this file");
        t->callback([this] { exit_code = timeline(common, html); });
        add_log_views();
    }

    void add_log_views()
    {
        auto* w = app.add_subcommand("why", "print a job's history, from logs");
        w->add_option("job", job)->required();
        w->add_option("files", files, "logs of all VMs; none: standard input");
        w->callback([this] { exit_code = why(job, files); });
        auto* l = app.add_subcommand(
            "losses", "print why jobs were late or lost, from logs");
        l->add_option("files", files, "logs of all VMs; none: standard input");
        l->callback([this] { exit_code = losses(files); });
    }
};

} // namespace

int main(int argc, char** argv)
{
    jasminetrack::runtime::limit_http_threads(2);
    command_line line;
    try
    {
        line.app.parse(argc, argv);
    }
    catch (CLI::ParseError const& e)
    {
        int const code = line.app.exit(e);
        return code == 0 ? exit_done : exit_usage;
    }
    return line.exit_code;
}
