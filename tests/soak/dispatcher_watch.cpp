#include "dispatcher_watch.hpp"

#include <algorithm>
#include <fstream>

namespace jasminetrack::soak
{
namespace
{

constexpr milliseconds poll_ms = 1;
constexpr milliseconds takeover_poll_ms = 20;

/// \returns the number after the key, such as "epoch="; 0 if there is none.
std::int64_t number_after(std::string const& line, std::string const& key)
{
    auto const at = line.find(key);
    return at == std::string::npos ? 0
                                   : std::atoll(line.c_str() + at + key.size());
}

} // namespace

dispatcher_watch::dispatcher_watch(standins::cluster& c, std::string dir)
    : cluster_(c), dir_(std::move(dir))
{
}

dispatcher_watch::~dispatcher_watch()
{
    stopping_ = true;
    if (thread_.joinable())
        thread_.join();
}

void dispatcher_watch::start()
{
    thread_ = std::thread([this] { note_takeovers(); });
}

void dispatcher_watch::note_takeovers()
{
    auto known = epoch();
    while (!stopping_)
    {
        auto const newest = epoch();
        if (newest > known)
        {
            std::lock_guard<std::mutex> const lock(mutex_);
            takeovers_.push_back(standins::now_ms());
        }
        known = newest;
        standins::sleep_ms(takeover_poll_ms);
    }
}

std::vector<milliseconds> dispatcher_watch::takeovers()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return takeovers_;
}

void dispatcher_watch::read(std::string const& vm, log_state& state) const
{
    std::ifstream file(dir_ + "/" + vm + ".log");
    file.seekg(state.offset);
    for (std::string line; std::getline(file, line) && !file.eof();)
    {
        state.offset += static_cast<std::int64_t>(line.size()) + 1;
        if (line.find("step=role.taken") != std::string::npos)
            state.epoch = number_after(line, "epoch=");
        if (line.find("step=unit.place") != std::string::npos)
            ++state.placements;
    }
}

standins::entry_vm* dispatcher_watch::dispatcher()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    standins::entry_vm* found = nullptr;
    std::int64_t newest = 0;
    for (auto const& vm : cluster_.vms())
    {
        auto& state = logs_[vm->name()];
        read(vm->name(), state);
        if (state.epoch <= newest)
            continue;
        newest = state.epoch;
        found = vm.get();
    }
    return found;
}

std::int64_t dispatcher_watch::epoch()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    std::int64_t newest = 0;
    for (auto const& vm : cluster_.vms())
    {
        auto& state = logs_[vm->name()];
        read(vm->name(), state);
        newest = std::max(newest, state.epoch);
    }
    return newest;
}

standins::entry_vm* dispatcher_watch::await_placing(milliseconds limit_ms)
{
    auto const until = standins::now_ms() + limit_ms;
    std::map<std::string, int> before;
    for (bool first = true; standins::now_ms() < until; first = false)
    {
        {
            std::lock_guard<std::mutex> const lock(mutex_);
            for (auto const& vm : cluster_.vms())
            {
                auto& state = logs_[vm->name()];
                read(vm->name(), state);
                if (first)
                    before[vm->name()] = state.placements;
                else if (state.placements > before[vm->name()])
                    return vm.get();
            }
        }
        standins::sleep_ms(poll_ms);
    }
    return nullptr;
}

} // namespace jasminetrack::soak
