#include "vm_list.hpp"

#include <nlohmann/json.hpp>

namespace jasminetrack::daemon
{
namespace
{

core::worker worker_from(nlohmann::json const& vm)
{
    core::worker w;
    w.name = vm.at("name");
    w.region = vm.at("region");
    w.rack = vm.value("rack", "");
    w.data_center = vm.value("data_center", "");
    w.address = vm.at("address");
    w.accelerators = vm.value("accelerators", 0);
    w.millicores = vm.value("millicores", 0);
    w.memory_mb = vm.value("memory_mb", 0);
    if (vm.value("state", "live") == "leaving")
        w.condition = core::worker_condition::leaving;
    return w;
}

} // namespace

core::outcome<vm_list> parse_vm_list(std::string const& text)
{
    try
    {
        vm_list list;
        auto const json = nlohmann::json::parse(text);
        for (auto const& vm : json.at("vms"))
        {
            if (vm.at("role") == "entry")
                list.entry_addresses[vm.at("name")] = vm.at("mesh");
            else
                list.workers.push_back(worker_from(vm));
        }
        return list;
    }
    catch (std::exception const& e)
    {
        return core::error{"vm_list.parse", "platform", e.what(), ""};
    }
}

} // namespace jasminetrack::daemon
