#include <jasminetrack/tasks/hold_report.hpp>

namespace jasminetrack::tasks
{

std::string to_text(hold_report const& r)
{
    auto const& wait = describe(r.reason);
    return std::string("reason=") + wait.name +
           " chosen=" + (is_chosen(r.reason) ? "1" : "0") +
           " held_ms=" + std::to_string(r.held_ms) +
           " age_ms=" + std::to_string(r.age_ms) +
           " priority=" + std::to_string(r.priority) +
           " tasks=" + std::to_string(r.tasks) + " need=" + to_text(r.need) +
           " wants_rack=" + (r.same_rack ? "1" : "0") +
           " free=" + to_text(r.free) + " used=" + to_text(r.used) +
           " capacity=" + to_text(r.capacity) +
           " headroom=" + std::to_string(r.headroom) + " ended_by=\"" +
           wait.ended_by + "\" longest_ms=" + std::to_string(wait.longest_ms);
}

} // namespace jasminetrack::tasks
