#include <jasminetrack/tasks/detail/suspect_counts.hpp>

namespace jasminetrack::tasks::detail
{
namespace
{

/// More suspects of a service at once have lost their workers by another cause,
/// but for a few of them.
constexpr std::int64_t max_few_suspects = 40;

} // namespace

void suspect_counts::begin_pass()
{
    in_pass_.clear();
}

void suspect_counts::note(std::string const& service)
{
    ++in_pass_[service];
}

void suspect_counts::end_pass()
{
    newest_ = in_pass_;
}

bool suspect_counts::has_many(std::string const& service) const
{
    auto const at = newest_.find(service);
    return at != newest_.end() && at->second > max_few_suspects;
}

std::int64_t suspect_counts::many_each(std::string const& service,
                                       std::int64_t workers) const
{
    if (!has_many(service))
        return 0;
    return (newest_.at(service) + workers - 1) / workers;
}

} // namespace jasminetrack::tasks::detail
