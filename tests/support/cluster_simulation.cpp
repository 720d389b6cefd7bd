#include "cluster_simulation.hpp"

#include <algorithm>

namespace support
{
namespace
{

constexpr milliseconds step_ms = 10;
constexpr milliseconds tick_ms = 50;
constexpr milliseconds heartbeat_ms = 500;
constexpr milliseconds vm_list_ms = 1000;
constexpr milliseconds order_timeout_ms = 1000;

} // namespace

cluster_simulation::cluster_simulation(world_settings settings)
    : settings_(std::move(settings)), random_(settings_.seed)
{
    for (int i = 0; i < settings_.workers; ++i)
    {
        auto const name = "w" + std::to_string(i);
        core::worker w;
        w.name = name;
        w.region = settings_.region;
        w.rack = "rack" + std::to_string(i / settings_.workers_per_rack);
        if (settings_.racks_per_data_center > 0)
            w.data_center =
                "dc" + std::to_string(i / (settings_.workers_per_rack *
                                           settings_.racks_per_data_center));
        w.address = name;
        w.accelerators = settings_.accelerators;
        w.millicores = 64'000;
        w.memory_mb = 256'000;
        listed_.push_back(w);
        models_.try_emplace(name, name, settings_.accelerators);
    }
    for (int i = 0; i < settings_.nodes; ++i)
    {
        auto const name = "n" + std::to_string(i);
        listed_nodes_.insert(name);
        auto& m = members_[name];
        m.logic = std::make_unique<core::node>(
            core::node_settings{name, name + ".1", settings_.region,
                                settings_.timing, settings_.policy});
    }
}

core::node& cluster_simulation::node(std::string const& name)
{
    return *members_.at(name).logic;
}

core::cluster_state const& cluster_simulation::state()
{
    while (observer_.next < log_.size())
        (void)core::apply(observer_, log_[observer_.next]);
    return observer_;
}

std::string cluster_simulation::owner()
{
    auto const& owners = state().owners;
    auto const found = owners.find(settings_.region);
    return found == owners.end() ? "" : found->second.holder;
}

std::vector<standins::worker_event> cluster_simulation::worker_events() const
{
    auto all = lost_events_;
    for (auto const& [name, model] : models_)
        all.insert(all.end(), model.events().begin(), model.events().end());
    std::stable_sort(all.begin(), all.end(),
                     [](auto const& a, auto const& b)
                     { return a.at_ms < b.at_ms; });
    return all;
}

milliseconds cluster_simulation::latency()
{
    return std::uniform_int_distribution<milliseconds>(1, 30)(random_);
}

void cluster_simulation::schedule(milliseconds delay,
                                  std::function<void()> work)
{
    scheduled_.emplace(now_ + delay, std::move(work));
}

void cluster_simulation::run(milliseconds ms)
{
    auto const until = now_ + ms;
    while (now_ < until)
        step();
}

bool cluster_simulation::run_until(std::function<bool()> const& condition,
                                   milliseconds timeout_ms)
{
    auto const until = now_ + timeout_ms;
    while (!condition())
    {
        if (now_ >= until)
            return false;
        step();
    }
    return true;
}

void cluster_simulation::step()
{
    now_ += step_ms;
    while (!scheduled_.empty() && scheduled_.begin()->first <= now_)
    {
        auto const work = std::move(scheduled_.begin()->second);
        scheduled_.erase(scheduled_.begin());
        work();
    }
    for (auto& [name, model] : models_)
        model.tick(now_);
    for (auto& [name, m] : members_)
        if (!m.paused && m.logic)
            step_node(name, m);
}

void cluster_simulation::step_node(std::string const& name, node_state& m)
{
    append_unsent_records(m);
    if (reaches_log(m))
    {
        auto const next = m.logic->state().next;
        if (next < log_.size())
            deliver(m, core::log_entries_event{
                           {log_.begin() + static_cast<std::ptrdiff_t>(next),
                            log_.end()}});
        deliver(m, core::log_caught_up_event{log_.size(), now_});
    }
    if (now_ % tick_ms == 0)
        deliver(m, core::tick_event{});
    if (now_ % vm_list_ms == 0 && cut_off_.count(name) == 0)
        deliver(m, core::vm_list_event{listed_, listed_nodes_});
    if (now_ % heartbeat_ms != 0 || m.peers_cut)
        return;
    core::peer_event const beat{name, m.logic->settings().incarnation,
                                settings_.region, m.logic->log_age(now_),
                                m.logic->draining()};
    for (auto& [other_name, other] : members_)
        if (other_name != name && other.logic && !other.paused &&
            !other.peers_cut && !are_separated(name, other_name))
            deliver(other, beat);
}

void cluster_simulation::deliver(node_state& m, core::event const& e)
{
    execute(m, m.logic->step(now_, e));
}

void cluster_simulation::execute(node_state& m, core::actions const& todo)
{
    for (auto const& a : todo)
    {
        if (auto const* append = std::get_if<core::append_action>(&a))
            m.unsent.push_back({0, 0, m.logic->settings().incarnation,
                                ++m.sequence, append->body});
        else if (auto const* order = std::get_if<core::order_action>(&a))
            send_order(m, *order);
    }
    append_unsent_records(m);
}

void cluster_simulation::append_unsent_records(node_state& m)
{
    if (!reaches_log(m))
        return;
    for (auto& entry : m.unsent)
    {
        entry.offset = log_.size();
        entry.time = now_;
        log_.push_back(entry);
    }
    m.unsent.clear();
}

bool cluster_simulation::reaches_log(node_state const& m) const
{
    return !log_down_ && !m.log_cut && m.logic &&
           cut_off_.count(m.logic->settings().name) == 0;
}

bool cluster_simulation::are_separated(std::string const& a,
                                       std::string const& b) const
{
    return cut_off_.count(a) != cut_off_.count(b);
}

void cluster_simulation::cut_off(std::set<std::string> nodes,
                                 std::set<std::string> workers)
{
    cut_off_ = std::move(nodes);
    cut_off_.merge(workers);
}

void cluster_simulation::end_cut()
{
    cut_off_.clear();
}

void cluster_simulation::send_order(node_state& m, core::order_action const& a)
{
    auto const name = m.logic->settings().name;
    last_orders_[name][a.worker] = a.order;
    auto const answer = [this, name](core::event e)
    {
        auto& to = members_.at(name);
        if (!to.logic)
            return;
        if (to.paused)
            return;
        deliver(to, e);
    };
    schedule(
        latency(),
        [this, name, a, answer]
        {
            auto const model = models_.find(a.worker);
            auto const time_out = [&]
            {
                schedule(order_timeout_ms, [a, answer]
                         { answer(core::worker_timeout_event{a.worker}); });
            };
            if (model == models_.end() || unresponsive_.count(a.worker) != 0 ||
                cut_workers_.count({name, a.worker}) != 0 ||
                are_separated(name, a.worker))
            {
                time_out();
                return;
            }
            auto report = model->second.handle_order(now_, a.order);
            if (unheard_.count(a.worker) != 0)
            {
                time_out();
                return;
            }
            schedule(latency(), [report, answer] { answer(report); });
        });
}

core::apply_result cluster_simulation::write(core::record body)
{
    log_.push_back(
        {log_.size(), now_, "outside", ++outside_sequence_, std::move(body)});
    while (observer_.next + 1 < log_.size())
        (void)core::apply(observer_, log_[observer_.next]);
    return core::apply(observer_, log_.back());
}

core::job_id cluster_simulation::submit(std::string const& job_class,
                                        std::string const& key,
                                        std::string const& payload)
{
    auto const& team = state().config.job_classes.at(job_class).team;
    return write(core::submit_record{team, key, job_class, payload, 0}).id;
}

void cluster_simulation::pause(std::string const& name)
{
    members_.at(name).paused = true;
}

void cluster_simulation::resume(std::string const& name)
{
    members_.at(name).paused = false;
}

void cluster_simulation::kill(std::string const& name)
{
    members_.at(name).logic.reset();
}

void cluster_simulation::cut_log(std::string const& name, bool cut)
{
    members_.at(name).log_cut = cut;
}

void cluster_simulation::cut_peers(std::string const& name, bool cut)
{
    members_.at(name).peers_cut = cut;
}

void cluster_simulation::set_unresponsive(std::string const& name,
                                          bool unresponsive)
{
    if (unresponsive)
        unresponsive_.insert(name);
    else
        unresponsive_.erase(name);
}

void cluster_simulation::kill_worker(std::string const& name)
{
    auto const found = models_.find(name);
    auto const& events = found->second.events();
    lost_events_.insert(lost_events_.end(), events.begin(), events.end());
    lost_events_.push_back({now_, name, "lost", "", ""});
    models_.erase(found);
}

void cluster_simulation::redeliver_orders(std::string const& node)
{
    for (auto const& [name, order] : last_orders_[node])
        if (auto const found = models_.find(name); found != models_.end())
            (void)found->second.handle_order(now_, order);
}

standins::worker_model& cluster_simulation::worker(std::string const& name)
{
    return models_.at(name);
}

std::vector<std::string> cluster_simulation::worker_names() const
{
    std::vector<std::string> names;
    for (auto const& [name, model] : models_)
        names.push_back(name);
    return names;
}

} // namespace support
