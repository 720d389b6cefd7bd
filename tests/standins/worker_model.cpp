#include "worker_model.hpp"

#include <algorithm>
#include <sstream>

namespace standins
{

using namespace jasminetrack::core;

task_script parse_script(std::string const& payload)
{
    task_script script;
    std::istringstream in(payload);
    std::string word;
    while (std::getline(in, word, ';'))
    {
        auto const eq = word.find('=');
        auto const key = word.substr(0, eq);
        auto const value =
            eq == std::string::npos ? std::string() : word.substr(eq + 1);
        if (key == "run_ms")
            script.run_ms = std::strtoll(value.c_str(), nullptr, 10);
        else if (key == "checkpoint_ms")
            script.checkpoint_ms = std::strtoll(value.c_str(), nullptr, 10);
        else if (key == "fail")
            script.fail = value == "1";
        else if (key == "result")
            script.result = value;
    }
    return script;
}

worker_model::worker_model(std::string name, int accelerators)
    : name_(std::move(name)), all_(range_mask(0, accelerators))
{
}

void worker_model::note(milliseconds now, std::string what,
                        std::string const& name, std::string detail)
{
    events_.push_back({now, name_, std::move(what), name, std::move(detail)});
}

bool worker_model::holds(task const& t) const noexcept
{
    return t.phase == task_phase::prepared || t.phase == task_phase::running ||
           t.phase == task_phase::stopping;
}

void worker_model::follow(milliseconds now, task_order const& o,
                          milliseconds lease_ms)
{
    auto found = tasks_.find(o.task);
    if (found == tasks_.end())
    {
        if (o.wish != desired_phase::prepared)
            return;
        task fresh;
        fresh.mask = range_mask(o.place.first, o.place.count);
        fresh.script = parse_script(o.payload);
        found = tasks_.emplace(o.task, fresh).first;
    }
    auto& t = found->second;
    t.lease_until = now + lease_ms;
    if (o.wish == desired_phase::running && t.phase == task_phase::prepared)
    {
        t.phase = task_phase::running;
        t.ends_at = now + t.script.run_ms;
        note(now, "started", o.task);
    }
    if (o.wish != desired_phase::stopped)
        return;
    if (t.phase == task_phase::pending || t.phase == task_phase::prepared)
    {
        t.phase = task_phase::stopped;
        note(now, "stopped", o.task);
    }
    else if (t.phase == task_phase::running)
    {
        t.phase = task_phase::stopping;
        t.keeps_checkpoint = t.script.checkpoint_ms <= o.grace_ms;
        t.ends_at = now + std::min(t.script.checkpoint_ms, o.grace_ms);
        note(now, "stopping", o.task);
    }
}

void worker_model::prepare_pending(milliseconds now)
{
    accelerator_mask taken = 0;
    for (auto const& [name, t] : tasks_)
        if (holds(t))
            taken |= t.mask;
    for (auto& [name, t] : tasks_)
    {
        if (t.phase != task_phase::pending)
            continue;
        if (failing_ || (t.mask & ~all_) != 0)
        {
            t.phase = task_phase::failed;
            t.detail = "cannot start here";
            note(now, "failed", name);
        }
        else if ((t.mask & taken) == 0)
        {
            t.phase = task_phase::prepared;
            taken |= t.mask;
            note(now, "prepared", name);
        }
    }
}

void worker_model::advance(milliseconds now, std::string const& name, task& t)
{
    if (now < t.ends_at)
        return;
    if (t.phase == task_phase::stopping)
    {
        t.phase = t.keeps_checkpoint ? task_phase::stopped : task_phase::killed;
        note(now, t.keeps_checkpoint ? "stopped" : "killed", name);
    }
    else if (t.phase == task_phase::running)
    {
        t.phase = t.script.fail ? task_phase::failed : task_phase::done;
        t.detail = t.script.fail             ? "asked to fail"
                   : t.script.result.empty() ? "result of " + name
                                             : t.script.result;
        note(now, t.script.fail ? "failed" : "done", name);
    }
}

void worker_model::tick(milliseconds now)
{
    for (auto& [name, t] : tasks_)
        advance(now, name, t);
    std::erase_if(tasks_,
                  [&](auto const& entry)
                  {
                      bool const lapsed = now > entry.second.lease_until;
                      if (lapsed && holds(entry.second))
                          note(now, "killed", entry.first, "lease lapsed");
                      return lapsed;
                  });
    prepare_pending(now);
}

worker_report_event worker_model::handle_order(milliseconds now,
                                               worker_order const& order)
{
    worker_report_event report;
    report.worker = name_;
    report.sequence = order.sequence;
    bool const old = order.epoch < epoch_ ||
                     (order.epoch == epoch_ && order.sequence < sequence_);
    if (old && fencing_)
    {
        report.refused = true;
        return report;
    }
    epoch_ = order.epoch;
    sequence_ = order.sequence;
    if (order.same_as == 0)
    {
        full_epoch_ = order.epoch;
        full_sequence_ = order.sequence;
        full_tasks_ = order.tasks;
    }
    else if (order.same_as != full_sequence_ || order.epoch != full_epoch_)
    {
        report.resend = true;
        return report;
    }
    obey(now, full_tasks_, order.lease_ms, report);
    if (digest_of(report.tasks) == order.known)
    {
        report.same = true;
        report.tasks.clear();
    }
    return report;
}

void worker_model::obey(milliseconds now, std::vector<task_order> const& wanted,
                        milliseconds lease_ms, worker_report_event& report)
{
    tick(now);
    std::set<std::string> names;
    for (auto const& o : wanted)
        names.insert(o.task);
    std::erase_if(tasks_,
                  [&](auto const& entry)
                  {
                      bool const dropped = names.count(entry.first) == 0;
                      if (dropped && holds(entry.second))
                          note(now, "killed", entry.first, "not wanted");
                      return dropped;
                  });
    for (auto const& o : wanted)
        follow(now, o, lease_ms);
    prepare_pending(now);
    for (auto const& o : wanted)
    {
        auto const found = tasks_.find(o.task);
        if (found == tasks_.end())
            report.tasks.push_back({o.task, task_phase::absent, ""});
        else
            report.tasks.push_back(
                {o.task, found->second.phase, found->second.detail});
    }
}

} // namespace standins
