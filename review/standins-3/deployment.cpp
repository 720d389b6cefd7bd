#include "deployment.hpp"

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>

namespace jasminetrack::review3
{
namespace
{

using nlohmann::json;

constexpr char const* host = "jobs.example";
constexpr char const* service = "patch-desk";
constexpr int rack_size = 8;
constexpr milliseconds start_limit_ms = 20'000;
constexpr milliseconds poll_ms = 50;
constexpr milliseconds check_timeout_ms = 500;
constexpr std::size_t max_shown = 160; ///< bytes of a body in the record

std::string read_file(std::string const& path)
{
    std::ifstream file(path);
    if (!file)
        throw std::runtime_error("cannot read " + path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Fills in the values of the settings template.
std::string fill_in(std::string text,
                    std::map<std::string, std::string> const& values)
{
    for (auto const& [name, value] : values)
    {
        auto const mark = "{{" + name + "}}";
        for (auto at = text.find(mark); at != std::string::npos;
             at = text.find(mark, at))
            text.replace(at, mark.size(), value);
    }
    if (text.find("{{") != std::string::npos)
        throw std::runtime_error("unknown placeholder in " + text);
    return text;
}

/// \returns the program that the deploy file runs.
std::string deployed_program()
{
    auto const text = read_file("deploy/system.toml");
    std::string const key = "\nrun = \"";
    auto const at = text.find(key);
    if (at == std::string::npos)
        throw std::runtime_error("deploy/system.toml has no run");
    auto const begin = at + key.size();
    return text.substr(begin, text.find('"', begin) - begin);
}

std::string shown(std::string const& body)
{
    return body.size() <= max_shown
               ? body
               : body.substr(0, max_shown) + "... (" +
                     std::to_string(body.size()) + " bytes)";
}

} // namespace

record_file::record_file(std::string const& path)
    : out_(path), begun_ms_(now_ms())
{
}

void record_file::write(std::string const& line)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    char at[16];
    std::snprintf(at, sizeof at, "%7.3f ",
                  static_cast<double>(now_ms() - begun_ms_) / 1'000);
    out_ << at << line << std::endl;
}

bool has_trouble()
{
    auto const* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

entry_vm::entry_vm(std::string name, std::string gate, std::string dir,
                   record_file& out)
    : name_(std::move(name)), gate_(std::move(gate)), dir_(std::move(dir)),
      out_(out), address_(loopback(free_port())), ready_(loopback(free_port())),
      mesh_(loopback(free_port()))
{
    std::ofstream(dir_ + "/" + name_ + ".yaml")
        << fill_in(read_file("deploy/entry.yaml"),
                   {{"node_name", name_},
                    {"region", "noord"},
                    {"zone", "noord-a"},
                    {"listen_addrs.frontend", address_},
                    {"listen_addrs.readiness", ready_},
                    {"ip", "127.0.0.1"},
                    {"internal_ports.0", mesh_.substr(mesh_.find(':') + 1)},
                    {"platform.address", gate_},
                    {"advice", ""},
                    {"limits.cpu_share", "0.25"},
                    {"bounds.grace_s", "6"},
                    {"bounds.hold_max_ms", "10000"},
                    {"bounds.stop_ms", "400"},
                    {"bounds.gang_ms", "3000"},
                    {"bounds.reclaim_ms", "2900"},
                    {"bounds.far_x", "3"}});
}

entry_vm::~entry_vm()
{
    kill();
}

void entry_vm::start()
{
    auto program = deployed_program();
    std::vector<std::string> environment{"JASMINETRACK_NODE_FILE=" + dir_ +
                                         "/" + name_ + ".yaml"};
    // DEPLOY.md: the platform sets this variable, too.
    environment.emplace_back("MALLOC_ARENA_MAX=1");
    for (auto const* name : {"PATH", "HOME", "LANG"})
        if (auto const* value = std::getenv(name))
            environment.push_back(std::string(name) + "=" + value);
    std::vector<char*> variables;
    for (auto& one : environment)
        variables.push_back(one.data());
    variables.push_back(nullptr);
    char* arguments[] = {program.data(), nullptr};
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    auto const output = dir_ + "/" + name_ + ".log";
    for (int const descriptor : {1, 2})
        posix_spawn_file_actions_addopen(&files, descriptor, output.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
    constexpr int first_unneeded = 3;
    posix_spawn_file_actions_addclosefrom_np(&files, first_unneeded);
    int const error = posix_spawn(&pid_, program.c_str(), &files, nullptr,
                                  arguments, variables.data());
    posix_spawn_file_actions_destroy(&files);
    if (error != 0)
        throw std::runtime_error("cannot start " + program);
    std::ofstream(dir_ + "/pids", std::ios::app) << pid_ << "\n";
    out_.write("entry VM " + name_ + " started as process " +
               std::to_string(pid_));
}

void entry_vm::kill()
{
    if (pid_ <= 0)
        return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    out_.write("entry VM " + name_ + ": process " + std::to_string(pid_) +
               " killed");
    pid_ = -1;
}

bool entry_vm::is_alive()
{
    if (pid_ <= 0)
        return false;
    if (::waitpid(pid_, nullptr, WNOHANG) == 0)
        return true;
    out_.write("entry VM " + name_ + " has ended by itself");
    pid_ = -1;
    return false;
}

bool entry_vm::is_ready() const
{
    return send({ready_, "GET", "/api/ready", {}, "", check_timeout_ms})
               .status == 200;
}

bool entry_vm::is_dispatcher() const
{
    auto const answer =
        send({ready_, "GET", "/metrics", {}, "", check_timeout_ms});
    return answer.body.find("\njasminetrack_dispatcher 1") != std::string::npos;
}

std::int64_t entry_vm::memory_mb() const
{
    constexpr std::int64_t kb_per_mb = 1'024;
    std::string const mark = "RssAnon:";
    std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; pid_ > 0 && std::getline(in, line);)
        if (line.starts_with(mark))
            return std::stoll(line.substr(mark.size())) / kb_per_mb;
    return 0;
}

deployment::deployment(int vms, int workers, std::string const& dir,
                       record_file& out)
    : dir_(dir), out_(out),
      store_([&out](std::string const& line) { out.write(line); })
{
    for (int i = 1; i <= workers; ++i)
    {
        workers_.push_back(std::make_unique<worker>(
            "w-" + std::to_string(i), service,
            "r1-" + std::to_string(1 + (i - 1) / rack_size), runs_,
            [&out](std::string const& line) { out.write(line); }));
        auto const& w = *workers_.back();
        links_.push_back(std::make_unique<link>(w.address()));
        store_.put("keyed.servers", w.id(), w.entry(links_.back()->address()));
    }
    for (int i = 0; i < vms; ++i)
        vms_.push_back(
            std::make_unique<entry_vm>("front-" + std::to_string(++named_),
                                       store_.open_gate(), dir_, out_));
}

deployment::~deployment()
{
    vms_.clear();
    gone_.clear();
    store_.stop();
    for (auto& l : links_)
        l->stop();
    for (auto& w : workers_)
        w->stop();
}

std::int64_t deployment::configure(std::vector<route> const& routes,
                                   std::vector<std::string> const& keys)
{
    return configure(routes, std::vector<tenant>{{"zeildoek", keys, 0}});
}

std::int64_t deployment::configure(std::vector<route> const& routes,
                                   std::vector<tenant> const& tenants)
{
    json route_list = json::array();
    json tenant_list = json::array();
    std::string text;
    for (auto const& r : routes)
    {
        route_list.push_back({{"name", r.name},
                              {"host", host},
                              {"path_prefix", r.prefix},
                              {"service", service},
                              {"priority", r.priority},
                              {"max_attempts", r.max_attempts},
                              {"stretch", 3.0},
                              {"target_latency_ms", 1'200},
                              {"public", false}});
        text += " " + r.name;
    }
    for (auto const& t : tenants)
    {
        tenant_list.push_back({{"name", t.name},
                               {"api_keys", t.keys},
                               {"guaranteed", {{"gpu", t.guaranteed}}}});
        text += ", tenant " + t.name + " with " +
                std::to_string(t.keys.size()) + " keys and " +
                std::to_string(t.guaranteed) + " guaranteed accelerators";
    }
    json const config{
        {"version", ++version_},
        {"routes", route_list},
        {"services", {{{"name", service}, {"rejects_overload", false}}}},
        {"tenants", tenant_list},
        {"limits", {{"max_body_bytes", 262'144}}}};
    store_.put("keyed.op", "config", config.dump());
    out_.write("operator: version " + std::to_string(version_) +
               " acknowledged, routes" + text);
    return version_;
}

bool deployment::start()
{
    for (auto& vm : vms_)
        vm->start();
    return await_ready(start_limit_ms);
}

bool deployment::await_ready(milliseconds limit_ms)
{
    auto const until = now_ms() + limit_ms;
    auto const all_ready = [this]
    {
        for (auto const& vm : vms_)
            if (!vm->is_ready())
                return false;
        return true;
    };
    auto const has_dispatcher = [this]
    {
        for (auto const& vm : vms_)
            if (vm->is_dispatcher())
                return true;
        return false;
    };
    while (!all_ready() || !has_dispatcher())
    {
        if (now_ms() > until)
            return false;
        sleep_ms(poll_ms);
    }
    out_.write("all entry VMs are ready");
    return true;
}

entry_vm& deployment::add_vm()
{
    vms_.push_back(std::make_unique<entry_vm>(
        "front-" + std::to_string(++named_), store_.open_gate(), dir_, out_));
    vms_.back()->start();
    return *vms_.back();
}

void deployment::remove_vm(std::size_t index)
{
    out_.write("entry VM " + vms_[index]->name() + " is removed for good");
    auto const mesh = vms_[index]->mesh();
    vms_.erase(vms_.begin() + static_cast<std::ptrdiff_t>(index));
    gone_.push_back(std::make_unique<server>(
        [](request const&) {
            return response{0, "", "", reply::mute};
        },
        port_of(mesh)));
}

call_answer deployment::call_vm(entry_vm const& vm, std::string const& method,
                                std::string const& path,
                                std::string const& body, std::string const& key)
{
    auto const sent = now_ms();
    auto const answer = send({vm.address(),
                              method,
                              path,
                              {{"Host", host},
                               {"X-Api-Key", key},
                               {"X-Deadline-Ms", std::to_string(deadline_ms)},
                               {"Content-Type", "application/json"}},
                              body,
                              deadline_ms});
    out_.write(
        "client: " + method + " " + path + " at " + vm.name() + " -> " +
        (answer.status == 0 ? "no answer" : std::to_string(answer.status)) +
        " after " + std::to_string(now_ms() - sent) + " ms, sent " +
        std::to_string(body.size()) + " bytes, got " + shown(answer.body));
    return answer;
}

std::string job_id(int number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016x", number);
    return text;
}

} // namespace jasminetrack::review3
