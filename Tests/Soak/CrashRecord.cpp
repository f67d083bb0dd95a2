#include <Tests/Soak/CrashRecord.h>

#include <algorithm>

namespace Dogwoodkeel
{

void CrashRecord::recordRun(const std::string &content)
{
    const std::lock_guard lock(this->mutex);
    this->runs[content].push_back(std::chrono::steady_clock::now());
}

void CrashRecord::recordCrash(const std::set<std::string> &contents)
{
    const std::lock_guard lock(this->mutex);
    for (const std::string &content : contents) {
        this->crashTimes[content].push_back(std::chrono::steady_clock::now());
    }
}

std::vector<std::string>
CrashRecord::excessRuns(std::size_t crashes, std::chrono::milliseconds propagationTime, std::size_t maxLaterRuns) const
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> excesses;
    for (const auto &[content, times] : this->crashTimes) {
        if (times.size() < crashes) {
            continue;
        }
        const Time refusedFrom = times[crashes - 1] + propagationTime;
        const auto laterRuns = std::ranges::count_if(this->runs.at(content), [refusedFrom](Time run) {
            return run > refusedFrom;
        });
        if (static_cast<std::size_t>(laterRuns) > maxLaterRuns) {
            excesses.push_back('"' + content + "\" reached replicas " + std::to_string(laterRuns)
                               + " more times after crash number " + std::to_string(crashes) + "; " + std::to_string(times.size())
                               + " crashes in total");
        }
    }
    return excesses;
}

std::string CrashRecord::summary() const
{
    const std::lock_guard lock(this->mutex);
    std::size_t reached = 0;
    std::size_t crashed = 0;
    for (const auto &[content, times] : this->runs) {
        reached += times.size();
    }
    for (const auto &[content, times] : this->crashTimes) {
        crashed += times.size();
    }
    return std::to_string(this->runs.size()) + " contents that crash replicas reached a replica " + std::to_string(reached)
        + " times, with " + std::to_string(crashed) + " crashes";
}

} // namespace Dogwoodkeel
