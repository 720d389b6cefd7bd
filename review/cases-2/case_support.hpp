#pragma once
/// \file
/// What the scripts of the cases share: a temporary folder, the settings of
/// the entry VMs and the check for two runs of a task at once.

#include <standins/cluster.hpp>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <string>
#include <unistd.h>
#include <vector>

namespace jasminetrack::cases
{

using standins::milliseconds;
using standins::now_ms;
using standins::sleep_ms;

inline constexpr int exit_held = 0;
inline constexpr int exit_broken = 1;
inline constexpr int exit_could_not_run = 2;

/// \returns whether the disruption is to take place: not with TROUBLE=0.
inline bool has_trouble()
{
    auto const* text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

/// A folder, in that of the environment for temporary files, which is removed
/// at the end unless the logs are to be kept.
class temporary_folder
{
public:
    temporary_folder()
        : path_(std::filesystem::temp_directory_path() /
                ("jasminetrack-case-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(path_);
    }
    ~temporary_folder()
    {
        std::error_code ignored;
        if (std::getenv("KEEP_LOGS") == nullptr)
            std::filesystem::remove_all(path_, ignored);
    }
    temporary_folder(temporary_folder const&) = delete;
    temporary_folder& operator=(temporary_folder const&) = delete;

    /// \returns its path.
    [[nodiscard]] std::string path() const
    {
        return path_.string();
    }

private:
    std::filesystem::path path_;
};

/// Replaces the values of the settings `region` and `data_center` of a VM.
inline void set_place(std::string const& dir, std::string const& vm,
                      std::string const& region, std::string const& zone)
{
    auto const file = dir + "/" + vm + ".yaml";
    std::vector<std::string> lines;
    {
        std::ifstream in(file);
        for (std::string line; std::getline(in, line);)
        {
            if (line.starts_with("region:"))
                line = "region: " + region;
            if (line.starts_with("data_center:"))
                line = "data_center: " + zone;
            lines.push_back(line);
        }
    }
    std::ofstream out(file);
    for (auto const& line : lines)
        out << line << '\n';
}

/// A task that two workers ran at the same time.
struct overlap
{
    standins::run_history earlier;
    standins::run_history later;
    milliseconds lasted_ms = 0;
};

/// \returns the pairs of runs of one task that were at work at the same time.
inline std::vector<overlap>
find_overlaps(std::vector<standins::run_history> const& runs,
              milliseconds seen_until)
{
    auto const end_of = [&](standins::run_history const& r)
    { return r.ended_ms < 0 ? seen_until : r.ended_ms; };
    std::map<std::string, std::vector<standins::run_history>> by_task;
    for (auto const& r : runs)
        by_task[r.task].push_back(r);
    std::vector<overlap> out;
    for (auto& [task, list] : by_task)
        for (std::size_t i = 0; i < list.size(); ++i)
            for (std::size_t k = i + 1; k < list.size(); ++k)
            {
                auto const from = std::max(list[i].begun_ms, list[k].begun_ms);
                auto const to = std::min(end_of(list[i]), end_of(list[k]));
                if (to > from)
                    out.push_back({list[i], list[k], to - from});
            }
    return out;
}

/// \returns the text with the run's task, number, worker, token and times
/// since `begin`.
inline std::string to_text(standins::run_history const& r, milliseconds begin)
{
    return r.task + " run " + std::to_string(r.run) + " on " + r.worker +
           ", token " + std::to_string(r.token) + ", from " +
           std::to_string(r.begun_ms - begin) + " ms to " +
           (r.ended_ms < 0
                ? std::string("the end of the case")
                : std::to_string(r.ended_ms - begin) + " ms, " + r.how);
}

} // namespace jasminetrack::cases
