#include "processor_shares.hpp"

namespace jasminetrack::soak
{
namespace
{

using standins::milliseconds;

constexpr milliseconds period_ms = 100;
constexpr milliseconds step_ms = 1;

} // namespace

processor_shares::processor_shares(standins::cluster& c, double share)
    : cluster_(c), share_(share)
{
    if (share_ < 1)
        thread_ = std::thread([this] { run(); });
}

processor_shares::~processor_shares()
{
    stopping_ = true;
    if (thread_.joinable())
        thread_.join();
}

void processor_shares::run()
{
    auto const& vms = cluster_.vms();
    auto const turn =
        static_cast<milliseconds>(share_ * static_cast<double>(period_ms));
    auto const count = static_cast<milliseconds>(vms.size());
    while (!stopping_)
    {
        auto const now = standins::now_ms();
        for (milliseconds i = 0; i < count; ++i)
            vms[static_cast<std::size_t>(i)]->set_turn(
                (now + i * period_ms / count) % period_ms < turn);
        standins::sleep_ms(step_ms);
    }
    for (auto const& vm : vms)
        vm->set_turn(true);
}

} // namespace jasminetrack::soak
