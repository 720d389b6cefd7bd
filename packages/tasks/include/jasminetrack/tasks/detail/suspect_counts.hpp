#pragma once
/// \file
/// How many waiting units of each service are suspected of crashing their
/// workers, so that they are to be isolated.

#include <cstdint>
#include <map>
#include <string>

namespace jasminetrack::tasks::detail
{

/// Counts the suspects of a scheduling pass; the queries answer for the newest
/// pass that has ended.
class suspect_counts
{
public:
    void begin_pass();
    /// A suspect of the service waits in this pass.
    void note(std::string const& service);
    void end_pass();

    /// \returns whether so many waited that another cause is likelier.
    [[nodiscard]] bool has_many(std::string const& service) const;
    /// \param workers  that may be kept for suspects; at least 1
    /// \returns the number of suspects for each of them, rounded up; 0 if there
    /// were not many.
    [[nodiscard]] std::int64_t many_each(std::string const& service,
                                         std::int64_t workers) const;

private:
    std::map<std::string, std::int64_t> in_pass_;
    std::map<std::string, std::int64_t> newest_;
};

} // namespace jasminetrack::tasks::detail
