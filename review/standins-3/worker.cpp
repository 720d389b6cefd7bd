#include "worker.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>

namespace jasminetrack::review3
{
namespace
{

using nlohmann::json;

constexpr milliseconds hold_max_ms = 10'000;
constexpr milliseconds stop_takes_ms = 300;
constexpr milliseconds max_wait_ms = 2'000;
constexpr milliseconds step_ms = 5;
constexpr std::size_t max_listed_ends = 500;
constexpr std::int64_t hundred = 100;

/// \returns the duration of the task, by its step; 0: it has no end.
milliseconds duration_of(std::string const& spec, std::string const& task)
{
    std::istringstream parts(task);
    std::string part;
    for (int i = 0; i < 3; ++i)
        std::getline(parts, part, '.');
    auto const step = std::stoi(part);
    std::istringstream durations(spec);
    std::string duration = "0";
    for (int i = 0; i <= step && std::getline(durations, part, ','); ++i)
        duration = part;
    return std::stoll(duration);
}

} // namespace

std::size_t run_list::begin(run_record r)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    runs_.push_back(std::move(r));
    return runs_.size() - 1;
}

void run_list::end(std::size_t index, std::string const& how)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    runs_[index].ended_ms = now_ms();
    runs_[index].how = how;
}

std::vector<run_record> run_list::all() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return runs_;
}

std::vector<run_record> run_list::of_job(std::string const& id) const
{
    auto list = all();
    std::erase_if(list, [&](run_record const& r)
                  { return !r.task.starts_with(id + "."); });
    return list;
}

worker::worker(std::string id, std::string service, std::string rack,
               run_list& runs, listener listen)
    : id_(std::move(id)), service_(std::move(service)), rack_(std::move(rack)),
      runs_(runs), listen_(std::move(listen)), born_(wall_ms()),
      begun_ms_(now_ms()), thread_([this] { run(); }),
      server_([this](request const& r) { return handle(r); })
{
}

worker::~worker()
{
    stop();
}

void worker::stop()
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        if (stopping_)
            return;
        stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
    server_.stop();
}

std::string worker::address() const
{
    return server_.address();
}

std::string worker::entry(std::string const& seen_at) const
{
    json const e{
        {"service", service_},
        {"address", seen_at},
        {"zone", "noord-a"},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"cold_left_ms", 0},
        {"seq_no", 1},
        {"born", born_},
        {"capacity", {{"cpu", 64'000}, {"mem_mb", 131'072}, {"gpu", 8}}},
        {"labels", {"a", rack_}}};
    return e.dump();
}

milliseconds worker::clock() const
{
    return now_ms() - begun_ms_ + 1;
}

bool worker::is_fenced(std::int64_t token)
{
    if (token < token_)
        return true;
    token_ = token;
    return false;
}

void worker::extend_lease(milliseconds until)
{
    lease_until_ =
        std::max(lease_until_, std::min(until, clock() + hold_max_ms));
}

response worker::conflict(char const* reason) const
{
    json const body{{"clock_ms", clock()}, {"born", born_}, {"reason", reason}};
    return {409, body.dump(), "application/json", reply::answer};
}

response worker::handle(request const& r)
{
    auto const intended = r.headers.find("x-expected-instance");
    if (intended != r.headers.end() && intended->second != id_)
        return {421, "{}", "application/json", reply::answer};
    if (r.path == "/api/run-start")
        return start(r.body);
    if (r.path == "/api/run-stop")
        return stop_run(r.body);
    if (r.path == "/api/hold")
        return hold(r.body);
    return {404, "{}", "application/json", reply::answer};
}

response worker::start(std::string const& text)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const body = json::parse(text);
    auto const task = body.at("task").get<std::string>();
    auto const run = body.at("run").get<std::int64_t>();
    auto const until = body.at("until_ms").get<std::int64_t>();
    if (is_fenced(body.value("fencing_token", std::int64_t{0})))
        return conflict("fence");
    json const done{{"clock_ms", clock()}, {"born", born_}};
    response const ok{200, done.dump(), "application/json", reply::answer};
    auto const at = active_.find(task);
    if (at != active_.end() && at->second.run == run)
        return ok;
    if (until < clock())
        return conflict("late");
    extend_lease(until);
    auto const closed = closed_.find(task);
    if (at != active_.end() ||
        (closed != closed_.end() && run <= closed->second))
        return conflict("old");
    auto const spec = body.at("spec").get<std::string>();
    active a;
    a.run = run;
    a.begun_ms = now_ms();
    a.takes_ms = duration_of(spec, task);
    a.index = runs_.begin({id_, task, run, spec, now_ms(), -1, ""});
    active_[task] = a;
    listen_("worker " + id_ + " begins " + task + " run " +
            std::to_string(run));
    changed_.notify_all();
    return ok;
}

response worker::stop_run(std::string const& text)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const body = json::parse(text);
    auto const task = body.at("task").get<std::string>();
    auto const run = body.at("run").get<std::int64_t>();
    if (is_fenced(body.value("fencing_token", std::int64_t{0})))
        return conflict("fence");
    auto& closed = closed_[task];
    closed = std::max(closed, run);
    auto const at = active_.find(task);
    if (at != active_.end() && at->second.run <= run &&
        at->second.stops_at_ms == 0)
        at->second.stops_at_ms = now_ms() + stop_takes_ms;
    json const done{{"clock_ms", clock()}, {"born", born_}};
    return {200, done.dump(), "application/json", reply::answer};
}

response worker::hold(std::string const& text)
{
    std::unique_lock<std::mutex> lock(mutex_);
    auto const body = json::parse(text);
    if (is_fenced(body.value("fencing_token", std::int64_t{0})))
        return conflict("fence");
    extend_lease(body.value("until_ms", std::int64_t{0}));
    auto const seen = body.value("last_seen", std::int64_t{0});
    std::erase_if(ended_, [&](ended const& e) { return e.number <= seen; });
    auto const wait =
        std::min(body.value("wait_ms", std::int64_t{0}), max_wait_ms);
    changed_.wait_for(lock, std::chrono::milliseconds(wait),
                      [&] { return stopping_ || !ended_.empty(); });
    json running = json::array();
    for (auto const& [task, a] : active_)
    {
        auto const percent =
            a.takes_ms == 0
                ? hundred
                : std::min(hundred,
                           hundred * (now_ms() - a.begun_ms) / a.takes_ms);
        running.push_back({task, a.run, "", percent, 1'000});
    }
    json finished = json::array();
    for (auto const& e : ended_)
        if (finished.size() < max_listed_ends)
            finished.push_back({e.number, e.task, e.run, e.how, ""});
    json const lists{{"clock_ms", clock()},
                     {"born", born_},
                     {"running", running},
                     {"finished", finished}};
    return {200, lists.dump(), "application/json", reply::answer};
}

void worker::finish(std::string const& task, std::string const& how)
{
    auto const at = active_.find(task);
    auto const a = at->second;
    active_.erase(at);
    auto& closed = closed_[task];
    closed = std::max(closed, a.run);
    ended_.push_back({++ends_, task, a.run, how});
    runs_.end(a.index, how);
    listen_("worker " + id_ + " ends " + task + " run " +
            std::to_string(a.run) + " as " + how);
    changed_.notify_all();
}

void worker::run()
{
    std::unique_lock<std::mutex> lock(mutex_);
    while (!stopping_)
    {
        std::vector<std::pair<std::string, std::string>> over;
        for (auto const& [task, a] : active_)
            if (clock() > lease_until_)
                over.emplace_back(task, "lapsed");
            else if (a.stops_at_ms != 0 && now_ms() >= a.stops_at_ms)
                over.emplace_back(task, "stopped");
            else if (a.takes_ms != 0 && now_ms() - a.begun_ms >= a.takes_ms)
                over.emplace_back(task, "done");
        for (auto const& [task, how] : over)
            finish(task, how);
        changed_.wait_for(lock, std::chrono::milliseconds(step_ms),
                          [this] { return stopping_; });
    }
}

} // namespace jasminetrack::review3
