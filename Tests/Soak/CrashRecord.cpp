#include <Tests/Soak/CrashRecord.h>

#include <algorithm>

namespace Dogwoodkeel
{

void CrashRecord::noteRun(const std::string &content)
{
    const std::lock_guard lock(this->mutex);
    this->runs[content].push_back(std::chrono::steady_clock::now());
}

void CrashRecord::noteEnd(const std::set<std::string> &contents)
{
    const std::lock_guard lock(this->mutex);
    for (const std::string &content : contents) {
        this->ends[content].push_back(std::chrono::steady_clock::now());
    }
}

std::vector<std::string> CrashRecord::excesses(std::size_t crashes, std::chrono::milliseconds settling, std::size_t most) const
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> found;
    for (const auto &[content, times] : this->ends) {
        if (times.size() < crashes) {
            continue;
        }
        const Time known = times[crashes - 1] + settling;
        const auto late = std::ranges::count_if(this->runs.at(content), [known](Time run) {
            return run > known;
        });
        if (static_cast<std::size_t>(late) > most) {
            found.push_back('"' + content + "\" reached replicas " + std::to_string(late) + " times more after it had ended "
                            + std::to_string(crashes) + "; " + std::to_string(times.size()) + " in all");
        }
    }
    return found;
}

std::string CrashRecord::summary() const
{
    const std::lock_guard lock(this->mutex);
    std::size_t reached = 0;
    std::size_t ended = 0;
    for (const auto &[content, times] : this->runs) {
        reached += times.size();
    }
    for (const auto &[content, times] : this->ends) {
        ended += times.size();
    }
    return std::to_string(this->runs.size()) + " contents that crash replicas reached these " + std::to_string(reached)
        + " times, with " + std::to_string(ended) + " ends";
}

} // namespace Dogwoodkeel
