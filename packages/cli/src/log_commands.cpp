#include "commands.hpp"
#include "job_causes.hpp"
#include "job_report.hpp"

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

namespace jasminetrack::cli
{
namespace
{

/// \returns the lines of all files together, or nothing if one can't be read.
std::optional<std::vector<log_line>>
read_files(std::vector<std::string> const& files)
{
    if (files.empty())
        return read_log(std::cin);
    std::stringstream all;
    for (auto const& name : files)
    {
        std::ifstream in(name);
        if (!in)
        {
            std::cerr << name << ": can't be read; name a log file, or none "
                      << "for standard input\n";
            return std::nullopt;
        }
        all << in.rdbuf();
        all.clear(); // an empty file is no error
    }
    return read_log(all);
}

} // namespace

int why(std::string const& job, std::vector<std::string> const& files)
{
    auto const lines = read_files(files);
    if (!lines)
        return exit_usage;
    auto const report = describe_job(*lines, job);
    for (auto const& sentence : report)
        std::cout << sentence << '\n';
    if (!report.empty())
        return exit_done;
    std::cerr << "no line names " << job << "; pass the logs of all VMs\n";
    return exit_refused;
}

int losses(std::vector<std::string> const& files)
{
    auto const lines = read_files(files);
    if (!lines)
        return exit_usage;
    std::cout << to_text(count_losses(*lines));
    return exit_done;
}

} // namespace jasminetrack::cli
