#include <jasminetrack/entry/job_table.hpp>

#include "log_keys.hpp"

namespace jasminetrack::entry
{
std::string cancel_key(std::string const& id)
{
    return std::string(cancel_prefix) + id;
}

tasks::job_phase job_view::phase() const noexcept
{
    if (cancelled && !tasks::is_final(summary.phase))
        return tasks::job_phase::cancelled;
    return summary.phase;
}

std::optional<job_view> job_table::find(std::string const& id) const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const at = jobs_.find(id);
    if (at == jobs_.end() || !at->second.job)
        return std::nullopt;
    return at->second;
}

std::int64_t job_table::pending(tasks::queue const& queue) const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    std::int64_t count = 0;
    for (auto const& [id, v] : jobs_)
        if (v.job && is_of_queue(*v.job, queue) && !v.summary.begun &&
            !tasks::is_final(v.phase()))
            ++count;
    return count;
}

std::size_t job_table::size() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return jobs_.size();
}

std::vector<std::string> job_table::unfinished() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    std::vector<std::string> ids;
    for (auto const& [id, v] : jobs_)
        if (v.job && !tasks::is_final(v.summary.phase))
            ids.push_back(id);
    return ids;
}

std::optional<std::string> job_table::apply_job(log_entry const& e)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    if (e.key.starts_with(cancel_prefix))
    {
        auto const id = e.key.substr(cancel_prefix.size());
        if (!e.value.empty())
            jobs_[id].cancelled = true;
        return id;
    }
    if (e.value.empty())
    {
        jobs_.erase(e.key);
        return std::nullopt;
    }
    auto& view = jobs_[e.key];
    if (view.job && e.offset >= view.job_offset)
        return e.key; // a repeated submission
    auto job = tasks::decode_job(e.value);
    if (!job)
        return std::nullopt;
    view.job = std::make_shared<tasks::accepted_job const>(std::move(*job));
    view.job_offset = e.offset;
    return e.key;
}

std::optional<std::string> job_table::apply_progress(log_entry const& e)
{
    auto const summary = tasks::decode_summary(e.value);
    if (!summary)
        return std::nullopt;
    std::lock_guard<std::mutex> const lock(mutex_);
    auto& view = jobs_[e.key];
    if (e.offset < view.progress_offset)
        return std::nullopt;
    view.progress_offset = e.offset;
    view.summary = *summary;
    view.progress = e.value;
    return e.key;
}

} // namespace jasminetrack::entry
