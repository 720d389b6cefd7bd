#include <jasminetrack/entry/load_admission.hpp>

#include <jasminetrack/runtime/logging.hpp>

#include <limits>

namespace jasminetrack::entry
{
namespace
{

using runtime::log_level;
using runtime::write_log;

constexpr milliseconds no_reading_age_ms = 1'000'000'000;

std::string rounded(double value)
{
    return std::to_string(static_cast<std::int64_t>(value));
}

/// \returns "PRIORITY:QUEUED:RUNNING,..." in core-seconds.
std::string work_text(tasks::resource_load const& load)
{
    std::string text;
    for (auto const& [priority, p] : load.priorities)
        text += (text.empty() ? "" : ",") + std::to_string(priority) + ":" +
                rounded(p.queued_core_s) + ":" + rounded(p.running_core_s);
    return text;
}

/// \returns "USED/CAPACITY/FREED_PER_S" in cores.
std::string use_text(tasks::resource_load const& load)
{
    return rounded(load.used_cores) + "/" + rounded(load.capacity_cores) + "/" +
           rounded(load.freed_cores_per_s);
}

std::string
accepted_text(std::map<std::string, tasks::accepted_by_priority> const& all,
              std::string const& service)
{
    double work = 0;
    if (auto const at = all.find(service); at != all.end())
        for (auto const& [priority, a] : at->second)
            work += a.core_s + a.accelerator_s;
    return rounded(work);
}

} // namespace

void load_admission::put_reading(milliseconds now, std::string const& encoded,
                                 milliseconds gap_ms)
{
    if (!enabled_ || gap_ms > tasks::max_reading_age_ms)
        return;
    auto reading = tasks::decode_load(encoded);
    if (!reading)
    {
        write_log(log_level::warning, "load.entry.skipped",
                  {{"key", "role"}, {"reason", "unreadable"}});
        return;
    }
    std::lock_guard<std::mutex> const lock(mutex_);
    reading_ = std::move(reading);
    taken_at_ = now - gap_ms;
    accepted_.clear();
}

tasks::service_reading const*
load_admission::reading_of(std::string const& service) const
{
    if (!reading_)
        return nullptr;
    auto const at = reading_->services.find(service);
    return at == reading_->services.end() ? nullptr : &at->second;
}

milliseconds load_admission::age(milliseconds now) const
{
    return reading_ ? now - taken_at_ : no_reading_age_ms;
}

tasks::admission_verdict
load_admission::judge(milliseconds now, tasks::queue const& queue,
                      tasks::job_spec const& spec) const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    if (!enabled_)
        return {};
    auto const accepted = accepted_.find(queue.service);
    return judge_admission(
        admission_need_of(queue, spec), reading_of(queue.service), age(now),
        accepted == accepted_.end() ? tasks::accepted_by_priority()
                                    : accepted->second);
}

void load_admission::on_accepted(tasks::queue const& queue,
                                 tasks::job_spec const& spec)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    if (!enabled_)
        return;
    auto const need = admission_need_of(queue, spec);
    if (!need.has_end)
        return;
    auto& work = accepted_[queue.service][queue.priority];
    work.core_s += need.core_s;
    work.accelerator_s += need.accelerator_s;
}

void load_admission::on_refused(milliseconds now, tasks::queue const& queue,
                                std::string const& id,
                                tasks::job_spec const& spec,
                                tasks::admission_verdict const& v)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    ++refused_[queue.name];
    auto const need = admission_need_of(queue, spec);
    auto const* found = reading_of(queue.service);
    auto const load = found ? *found : tasks::service_reading();
    write_log(log_level::info, "job.refused",
              {{"job", id},
               {"queue", queue.name},
               {"reason", to_text(v.reason)},
               {"priority", std::to_string(need.priority)},
               {"core_s", rounded(need.core_s)},
               {"accelerator_core_s", rounded(need.accelerator_s)},
               {"critical_path_ms", std::to_string(need.critical_path_ms)},
               {"wait_ms", std::to_string(v.wait_ms)},
               {"end_ms", std::to_string(v.end_ms)},
               {"expiry_ms", std::to_string(v.expiry_ms)},
               {"reading_age_ms", std::to_string(age(now))},
               {"cores", use_text(load.cores)},
               {"cores_work", work_text(load.cores)},
               {"accelerators", use_text(load.accelerators)},
               {"accelerators_work", work_text(load.accelerators)},
               {"accepted_core_s", accepted_text(accepted_, queue.service)}});
}

admission_metrics load_admission::metrics(milliseconds now) const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return {refused_, age(now)};
}

} // namespace jasminetrack::entry
