/// \file
/// Sizes of what goes over the wire and into the log, by what they carry.

#include <jasminetrack/protocol/codec.hpp>

#include <cstdio>

namespace
{

using namespace jasminetrack;
using namespace jasminetrack::core;

std::size_t record_bytes(record body)
{
    return protocol::encode(
               protocol::written_record{"entry-1.1796358868096.9710", 12345,
                                        std::move(body)})
        .size();
}

place_record place_of(int members)
{
    place_record r;
    r.job = "j123456";
    r.epoch = 123;
    r.seat = "team-17#0.0";
    for (int m = 0; m < members; ++m)
        r.places.push_back({"worker-0" + std::to_string(100 + m), m % 8, 1});
    r.seat_places = r.places;
    return r;
}

void print_orders()
{
    for (int tasks : {0, 1, 4, 8})
    {
        worker_order order;
        order.region = "bern";
        order.epoch = 123456;
        order.sequence = 987654;
        order.lease_ms = 6000;
        worker_report_event report;
        report.worker = "worker-0123";
        report.sequence = order.sequence;
        for (int t = 0; t < tasks; ++t)
        {
            auto const name = "j123456.1." + std::to_string(t);
            order.tasks.push_back({name,
                                   desired_phase::running,
                                   {"worker-0123", t, 1},
                                   "run_ms=800",
                                   1000});
            report.tasks.push_back({name, task_phase::running, ""});
        }
        std::printf("order with %d tasks: %zu B, report %zu B\n", tasks,
                    protocol::to_json_text(order).size(),
                    protocol::to_json_text(report).size());
    }
}

void print_renewal()
{
    worker_order order;
    order.region = "bern";
    order.epoch = 123456;
    order.sequence = 987654;
    order.same_as = 987600;
    order.known = 0x123456789abcdef0;
    order.lease_ms = 6000;
    worker_report_event report;
    report.worker = "worker-0123";
    report.sequence = order.sequence;
    report.same = true;
    std::printf("order that renews: %zu B, report %zu B\n",
                protocol::to_json_text(order).size(),
                protocol::to_json_text(report).size());
}

void print_records()
{
    std::printf("submit: %zu B\n",
                record_bytes(submit_record{"team-17", "lot-2026-12-04-117",
                                           "sort-batch", "run_ms=800", 0}));
    for (int members : {1, 8, 64, 128})
        std::printf("place, %d members: %zu B\n", members,
                    record_bytes(place_of(members)));
    job_record change;
    change.job = "j123456";
    change.epoch = 123;
    change.detail = std::string(64, 'x');
    std::printf("job change: %zu B\n", record_bytes(change));
    for (int guarantees : {1, 8})
    {
        ticket t;
        t.number = 7;
        t.author = "anna";
        t.reason = "more room";
        team who;
        who.name = "team-17";
        for (int i = 0; i < guarantees; ++i)
            who.guarantees.push_back(
                {"bern", {8, 1, 0, 0, adjacency::worker}, 1});
        t.objects.push_back(who);
        std::printf("ticket, %d guarantees: %zu B\n", guarantees,
                    record_bytes(ticket_record{t}));
    }
    std::printf("workers, 1 changed: %zu B\n",
                record_bytes(workers_record{
                    "bern",
                    123,
                    {{"worker-0123", "bern", "rack-17", "10.0.0.17:7000", 8,
                      128000, 512000, worker_condition::lost}}}));
    std::printf("call intent: %zu B, result of 200 B: %zu B\n",
                record_bytes(call_record{"team-17", "lot-2026-12-04-117",
                                         "lot-labels", "0123456789abcdef",
                                         "entry-1.1796358868096.9710", 9}),
                record_bytes(call_result_record{"team-17", "lot-2026-12-04-117",
                                                call_end::done, 200,
                                                std::string(200, 'x')}));
}

} // namespace

int main()
{
    print_orders();
    print_renewal();
    print_records();
    protocol::peer_message heartbeat;
    heartbeat.node = "entry-1";
    heartbeat.incarnation = "entry-1.1796358868096.9710";
    heartbeat.region = "bern";
    heartbeat.next = 123456;
    heartbeat.sent_ms = heartbeat.echo_ms = 1'000'000'000;
    std::printf("heartbeat: %zu B\n", protocol::encode(heartbeat).size());
    return 0;
}
