#include "workers.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace jasminetrack::review
{
namespace
{

using nlohmann::json;

constexpr milliseconds step_ms = 5;
/// The pages allow a stop 900 ms.
constexpr milliseconds stop_takes_ms = 400;
constexpr std::size_t max_listed_ends = 500;
constexpr std::int64_t hundred = 100;
constexpr milliseconds max_wait_ms = 2'000;

} // namespace

std::size_t run_book::begin(run_history history)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    runs_.push_back(std::move(history));
    return runs_.size() - 1;
}

void run_book::end(std::size_t index, std::string const& how)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    runs_[index].ended_ms = now_ms();
    runs_[index].how = how;
}

void run_book::note(std::size_t index)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    if (runs_[index].noted_ms < 0)
        runs_[index].noted_ms = now_ms();
}

std::vector<run_history> run_book::all()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return runs_;
}

worker::worker(std::string id, std::string address, milliseconds hold_max_ms,
               run_book& book, record& log)
    : id_(std::move(id)), address_(std::move(address)),
      hold_max_ms_(hold_max_ms), book_(book), log_(log),
      born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count()),
      begun_ms_(now_ms()), choose_([](std::string const&, std::int64_t)
                                   { return worker_action::serve; }),
      thread_([this] { run(); }),
      server_(std::make_unique<http_server>(
          address_, [this](http_request const& r) { return handle(r); }))
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
    server_->stop();
}

void worker::set_chooser(chooser choose)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    choose_ = std::move(choose);
}

milliseconds worker::clock() const
{
    return now_ms() - begun_ms_ + 1;
}

std::string worker::list_entry() const
{
    json const entry{
        {"service", "korkbuch"},
        {"address", address_},
        {"zone", "lausanne"},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"cold_left_ms", 0},
        {"seq_no", 1},
        {"born", born_},
        {"capacity", {{"cpu", 128'000}, {"mem_mb", 524'288}, {"gpu", 8}}},
        {"labels", {"a", "r1-1"}}};
    return entry.dump();
}

http_response worker::conflict(char const* reason) const
{
    json const body{{"clock_ms", clock()}, {"born", born_}, {"reason", reason}};
    return {409, body.dump(), "application/json", delivery::answer};
}

bool worker::is_fenced(std::int64_t token)
{
    if (token < token_)
        return true;
    token_ = token;
    return false;
}

void worker::check_lease()
{
    bool const lapsed = clock() > lease_until_;
    if (lapsed && !lease_lapsed_)
        ++lapses_;
    lease_lapsed_ = lapsed;
}

void worker::extend_lease(std::int64_t until)
{
    check_lease();
    auto const most = clock() + hold_max_ms_;
    lease_until_ = std::max(lease_until_, std::min<std::int64_t>(until, most));
    lease_lapsed_ = clock() > lease_until_;
}

http_response worker::handle(http_request const& request)
{
    chooser choose;
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        choose = choose_;
    }
    auto const fields = json::parse(request.body, nullptr, false);
    if (!fields.is_object())
        return {400, "{}", "application/json", delivery::answer};
    auto const action =
        choose(request.path, fields.value("fencing_token", std::int64_t{0}));
    if (action == worker_action::refuse)
        return {503, "{}", "application/json", delivery::answer};
    if (action == worker_action::mute)
        return {0, "", "", delivery::mute};
    auto const intended = request.headers.find("x-expected-instance");
    if (intended != request.headers.end() && intended->second != id_)
        return {421, "{}", "application/json", delivery::answer};
    http_response response{404, "{}", "application/json", delivery::answer};
    if (request.path == "/api/run-start")
        response = start(request);
    if (request.path == "/api/run-stop")
        response = stop_run(request);
    if (request.path == "/api/hold")
        response = hold(request);
    if (action == worker_action::lose_answer)
        response.delivery = delivery::reset;
    return response;
}

http_response worker::start(http_request const& request)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const body = json::parse(request.body);
    auto const task = body.at("task").get<std::string>();
    auto const run = body.at("run").get<std::int64_t>();
    auto const until = body.at("until_ms").get<std::int64_t>();
    if (is_fenced(body.value("fencing_token", std::int64_t{0})))
        return conflict("fence");
    json const done{{"clock_ms", clock()}, {"born", born_}};
    http_response const ok{200, done.dump(), "application/json",
                           delivery::answer};
    auto const at = running_.find(task);
    if (at != running_.end() && at->second.run == run)
        return ok;
    if (until < clock())
        return conflict("late");
    extend_lease(until);
    auto const closed = closed_.find(task);
    if (at != running_.end() ||
        (closed != closed_.end() && run <= closed->second))
        return conflict("old");
    worker::running r;
    r.run = run;
    r.begun_ms = now_ms();
    r.takes_ms = std::stoll(body.at("spec").get<std::string>());
    r.index = book_.begin({id_, task, run, token_, r.begun_ms, -1, "", -1});
    running_[task] = r;
    log_.write("worker " + id_ + ": begins " + task + " run " +
               std::to_string(run) + ", token " + std::to_string(token_));
    changed_.notify_all();
    return ok;
}

http_response worker::stop_run(http_request const& request)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const body = json::parse(request.body);
    auto const task = body.at("task").get<std::string>();
    auto const run = body.at("run").get<std::int64_t>();
    if (is_fenced(body.value("fencing_token", std::int64_t{0})))
        return conflict("fence");
    auto& closed = closed_[task];
    closed = std::max(closed, run);
    auto const at = running_.find(task);
    if (at != running_.end() && at->second.run <= run &&
        at->second.stops_at_ms == 0)
        at->second.stops_at_ms = now_ms() + stop_takes_ms;
    json const done{{"clock_ms", clock()}, {"born", born_}};
    return {200, done.dump(), "application/json", delivery::answer};
}

http_response worker::hold(http_request const& request)
{
    std::unique_lock<std::mutex> lock(mutex_);
    auto const body = json::parse(request.body);
    if (is_fenced(body.value("fencing_token", std::int64_t{0})))
        return conflict("fence");
    extend_lease(body.value("until_ms", std::int64_t{0}));
    auto const seen = body.value("last_seen", std::int64_t{0});
    for (auto const& e : ended_)
        if (e.number <= seen && e.lapses == lapses_)
            book_.note(e.index);
    std::erase_if(ended_, [&](ended const& e) { return e.number <= seen; });
    auto const wait =
        std::min(body.value("wait_ms", std::int64_t{0}), max_wait_ms);
    changed_.wait_for(lock, std::chrono::milliseconds(wait),
                      [this] { return stopping_ || !ended_.empty(); });
    return lists();
}

http_response worker::lists() const
{
    json active = json::array();
    for (auto const& [task, r] : running_)
    {
        auto const percent = hundred * (now_ms() - r.begun_ms) /
                             std::max<milliseconds>(1, r.takes_ms);
        active.push_back({task, r.run, "", std::min(percent, hundred), 1'000});
    }
    json finished = json::array();
    for (auto const& e : ended_)
        if (finished.size() < max_listed_ends)
            finished.push_back({e.number, e.task, e.run, e.how, ""});
    json const body{{"clock_ms", clock()},
                    {"born", born_},
                    {"running", active},
                    {"finished", finished}};
    return {200, body.dump(), "application/json", delivery::answer};
}

void worker::finish(std::string const& task, std::string const& how)
{
    auto const at = running_.find(task);
    auto const r = at->second;
    running_.erase(at);
    auto& closed = closed_[task];
    closed = std::max(closed, r.run);
    ended_.push_back({++ends_, task, r.run, how, r.index, lapses_});
    book_.end(r.index, how);
    log_.write("worker " + id_ + ": " + task + " run " + std::to_string(r.run) +
               " ends as " + how);
    changed_.notify_all();
}

void worker::run()
{
    std::unique_lock<std::mutex> lock(mutex_);
    while (!stopping_)
    {
        check_lease();
        bool const lapsed = lease_lapsed_;
        std::vector<std::pair<std::string, char const*>> over;
        for (auto const& [task, r] : running_)
            if (lapsed)
                over.emplace_back(task, "lapsed");
            else if (r.stops_at_ms != 0 && now_ms() >= r.stops_at_ms)
                over.emplace_back(task, "stopped");
            else if (now_ms() - r.begun_ms >= r.takes_ms)
                over.emplace_back(task, "done");
        for (auto const& [task, how] : over)
            finish(task, how);
        changed_.wait_for(lock, std::chrono::milliseconds(step_ms),
                          [this] { return stopping_; });
    }
}

} // namespace jasminetrack::review
