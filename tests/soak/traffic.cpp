#include "traffic.hpp"

#include "job_classes.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <random>

namespace jasminetrack::soak
{
namespace
{

using nlohmann::json;
using standins::now_ms;
using standins::sleep_ms;

constexpr int max_attempts = 5;
constexpr milliseconds retry_pause_ms = 200;
constexpr milliseconds ms_per_s = 1'000;
constexpr milliseconds max_cancel_delay_ms = 2'500;
constexpr milliseconds min_task_ms = 500;
constexpr milliseconds max_task_ms = 5'000;
constexpr milliseconds min_long_task_ms = 8'000;
constexpr milliseconds max_long_task_ms = 12'000;
constexpr milliseconds status_pause_ms = 100;
constexpr int max_tasks = 4;
constexpr int hundred = 100;
constexpr int status_ok = 200;
constexpr int status_redirect = 300;
constexpr int status_not_found = 404;
constexpr int status_gone = 410;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;

bool is_success(int status)
{
    return status >= status_ok && status < status_redirect;
}

bool is_rejection(int status)
{
    return status == status_not_found || status == status_too_many ||
           status == status_unavailable;
}

std::string path_of(job_history const& j)
{
    return j.queue + j.id;
}

/// \returns whether the job's end is still to be asked for. A state that was
/// read before an attempt without an answer has to be read again.
bool is_open(job_history const& j)
{
    if (j.accepted_at < 0 || j.cancel_sent_at >= 0)
        return false;
    return j.last_status != status_ok || j.last_state != "completed";
}

request_end to_request_end(standins::call_end e)
{
    switch (e)
    {
    case standins::call_end::answered:
        return request_end::answered;
    case standins::call_end::closed:
        return request_end::closed;
    case standins::call_end::timed_out:
        return request_end::timed_out;
    default:
        return request_end::not_sent;
    }
}

} // namespace

/// One caller, with a connection to each entry VM.
class traffic::caller
{
public:
    caller(traffic& all, std::uint32_t seed) : all_(all), engine_(seed)
    {
        for (auto const& vm : all.cluster_.vms())
            sessions_.push_back(
                std::make_unique<standins::http_session>(vm->address()));
    }

    void run()
    {
        auto due = now_ms();
        while (!all_.stopping_)
        {
            submit_next();
            send_due_cancels(now_ms());
            ask_for_state();
            due = std::max(due + pause(), now_ms() - ms_per_s);
            sleep_ms(std::max<milliseconds>(0, due - now_ms()));
        }
        send_due_cancels(now_ms() + max_cancel_delay_ms);
    }

    /// Asks for the state of the job until it gets an answer or has tried
    /// often enough.
    void ask(std::size_t index, job_history const& j)
    {
        for (int i = 0; i < max_attempts; ++i)
        {
            auto const answer = call(random_vm(), "GET", j, "");
            if (answer.status != status_ok && answer.status != status_gone)
            {
                sleep_ms(retry_pause_ms);
                continue;
            }
            auto const body = json::parse(answer.body, nullptr, false);
            auto const state = body.is_object()
                                   ? body.value("state", std::string())
                                   : std::string();
            all_.change(index,
                        [&](job_history& job)
                        {
                            job.last_status = answer.status;
                            job.last_state = state;
                        });
            return;
        }
        all_.change(index, [](job_history& job) { job.last_status = 0; });
    }

private:
    struct due_cancel
    {
        milliseconds at = 0;
        std::size_t index = 0;
        job_history job;
    };

    /// \returns the time from one job of this caller to the next.
    [[nodiscard]] milliseconds pause() const
    {
        auto const usual =
            ms_per_s * all_.plan_.callers / all_.plan_.jobs_per_second;
        return static_cast<milliseconds>(is_burst() ? usual / burst_pace()
                                                    : usual);
    }

    [[nodiscard]] bool is_burst() const
    {
        return all_.plan_.has_site_classes &&
               is_burst_at(now_ms() - all_.begun_at_);
    }

    std::uint32_t below(std::uint32_t limit)
    {
        return engine_() % limit;
    }

    std::size_t random_vm()
    {
        return below(static_cast<std::uint32_t>(sessions_.size()));
    }

    standins::client_answer call(std::size_t vm, std::string const& method,
                                 job_history const& j, std::string const& body)
    {
        auto request = standins::cluster::client_call(method, path_of(j));
        request.body = body;
        auto const answer = sessions_[vm]->send(request);
        auto const& name = all_.cluster_.vms()[vm]->name();
        request_history r;
        r.vm = name;
        r.method = method;
        r.job = j.id;
        r.sent_at = answer.sent_ms;
        r.ended_at = answer.ended_ms;
        r.end = to_request_end(answer.end);
        r.status = r.end == request_end::answered ? answer.response.status : 0;
        all_.log_.write("client: " + method + " " + j.id + " at " + name +
                        ": " + std::to_string(r.status));
        std::lock_guard<std::mutex> const lock(all_.mutex_);
        all_.requests_.push_back(r);
        return {r.status, answer.response.body};
    }

    /// Makes a gang of some jobs of several tasks.
    void make_gang(job_history& j, std::uint32_t task_ms)
    {
        j.is_gang = j.tasks > 1 && static_cast<int>(below(hundred)) <
                                       all_.plan_.gangs_per_hundred;
        if (j.is_gang)
            j.spec = std::to_string(task_ms) + " gang " +
                     std::to_string(j.tasks) + " of " + j.id;
    }

    /// \returns how long the tasks of the next plain job take.
    std::uint32_t draw_task_time()
    {
        bool const is_long =
            all_.plan_.long_per_hundred > 0 &&
            static_cast<int>(below(hundred)) < all_.plan_.long_per_hundred;
        auto const least = is_long ? min_long_task_ms : min_task_ms;
        auto const most = is_long ? max_long_task_ms : max_task_ms;
        return static_cast<std::uint32_t>(least) +
               below(static_cast<std::uint32_t>(most - least + 1));
    }

    job_history make_job()
    {
        auto const id = standins::job_id(all_.next_job_++);
        if (!all_.plan_.has_site_classes)
            return make_plain_job(id);
        auto const workers = static_cast<int>(all_.cluster_.workers().size());
        return draw_site_job(id, engine_, workers, is_burst());
    }

    job_history make_plain_job(std::string const& id)
    {
        job_history j;
        j.id = id;
        auto const task_ms = draw_task_time();
        j.spec = std::to_string(task_ms) + " of " + j.id;
        j.tasks = 1 + static_cast<int>(below(max_tasks));
        j.urgent =
            static_cast<int>(below(hundred)) < all_.plan_.urgent_per_hundred;
        if (j.urgent)
            j.queue = standins::urgent_prefix;
        j.estimate_ms = task_ms;
        if (all_.plan_.gangs_per_hundred > 0)
            make_gang(j, task_ms);
        return j;
    }

    void submit_next()
    {
        auto j = make_job();
        bool const cancels =
            static_cast<int>(below(hundred)) < all_.plan_.cancels_per_hundred;
        j.first_sent = now_ms();
        auto const index = all_.add(j);
        auto const body = json{{"spec", j.spec}}.dump();
        auto const text = body.substr(0, body.size() - 1) + ",\"steps\":" +
                          standins::one_step({j.tasks, j.estimate_ms, j.is_gang,
                                              j.wants_one_rack, j.need}) +
                          "}";
        bool is_unknown = false;
        for (int i = 0; i < max_attempts && !all_.stopping_; ++i)
        {
            auto const status = call(random_vm(), "POST", j, text).status;
            is_unknown = is_unknown || !is_rejection(status);
            if (is_success(status))
            {
                all_.change(index, [](job_history& job)
                            { job.accepted_at = now_ms(); });
                break;
            }
            if (is_unknown)
                all_.change(index, [](job_history& job)
                            { job.outcome_unknown = true; });
            if (cancels && is_unknown)
                break;
            sleep_ms(retry_pause_ms);
        }
        if (cancels)
            cancels_.push_back(
                {now_ms() + below(max_cancel_delay_ms), index, j});
    }

    void send_due_cancels(milliseconds until)
    {
        for (auto const& c : cancels_)
            if (c.at <= until)
                cancel(c);
        std::erase_if(cancels_,
                      [&](due_cancel const& c) { return c.at <= until; });
    }

    void cancel(due_cancel const& c)
    {
        all_.change(c.index,
                    [](job_history& job) { job.cancel_sent_at = now_ms(); });
        for (int i = 0; i < max_attempts; ++i)
        {
            auto const status = call(random_vm(), "DELETE", c.job, "").status;
            if (is_success(status) || status == status_gone)
            {
                all_.change(c.index, [](job_history& job)
                            { job.cancelled_at = now_ms(); });
                return;
            }
            sleep_ms(retry_pause_ms);
        }
    }

    void ask_for_state()
    {
        auto const jobs = all_.jobs();
        auto const index = below(static_cast<std::uint32_t>(jobs.size()));
        if (jobs[index].accepted_at >= 0)
            ask(index, jobs[index]);
    }

    traffic& all_;
    std::mt19937 engine_;
    std::vector<std::unique_ptr<standins::http_session>> sessions_;
    std::vector<due_cancel> cancels_;
};

traffic::traffic(traffic_plan const& plan, standins::cluster& c,
                 standins::record& log)
    : plan_(plan), cluster_(c), log_(log)
{
}

traffic::~traffic()
{
    stop();
}

void traffic::start()
{
    begun_at_ = now_ms();
    for (int i = 0; i < plan_.callers; ++i)
        threads_.emplace_back(
            [this, i]
            {
                caller c(*this,
                         plan_.seed * 31 + static_cast<std::uint32_t>(i));
                c.run();
            });
}

void traffic::stop()
{
    stopping_ = true;
    for (auto& t : threads_)
        t.join();
    threads_.clear();
}

void traffic::await_ends(milliseconds limit_ms)
{
    auto const until = now_ms() + limit_ms;
    caller c(*this, plan_.seed);
    for (;;)
    {
        auto const list = jobs();
        std::size_t open = 0;
        for (std::size_t i = 0; i < list.size(); ++i)
        {
            if (!is_open(list[i]))
                continue;
            c.ask(i, list[i]);
            ++open;
        }
        if (open == 0 || now_ms() > until)
            return;
        sleep_ms(status_pause_ms);
    }
}

void traffic::copy_to(play_history& h)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    h.jobs = jobs_;
    h.requests = requests_;
}

std::size_t traffic::add(job_history job)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    jobs_.push_back(std::move(job));
    return jobs_.size() - 1;
}

std::vector<job_history> traffic::jobs()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return jobs_;
}

} // namespace jasminetrack::soak
