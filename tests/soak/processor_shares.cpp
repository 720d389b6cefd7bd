#include "processor_shares.hpp"

namespace jasminetrack::soak
{
namespace
{

using standins::milliseconds;

constexpr milliseconds period_ms = 100;
constexpr milliseconds step_ms = 1;

} // namespace

processor_shares::processor_shares(standins::cluster& c)
    : cluster_(c), thread_([this] { run(); })
{
}

processor_shares::~processor_shares()
{
    stopping_ = true;
    thread_.join();
}

void processor_shares::run()
{
    auto const& vms = cluster_.vms();
    auto const count = static_cast<milliseconds>(vms.size());
    while (!stopping_)
    {
        auto const now = standins::now_ms();
        for (milliseconds i = 0; i < count; ++i)
        {
            auto& vm = *vms[static_cast<std::size_t>(i)];
            auto const turn = static_cast<milliseconds>(
                vm.share() * static_cast<double>(period_ms));
            vm.set_turn((now + i * period_ms / count) % period_ms < turn);
        }
        standins::sleep_ms(step_ms);
    }
    for (auto const& vm : vms)
        vm->set_turn(true);
}

} // namespace jasminetrack::soak
