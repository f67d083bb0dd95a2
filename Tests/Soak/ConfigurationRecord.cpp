#include <Tests/Soak/ConfigurationRecord.h>

#include <algorithm>

namespace Dogwoodkeel
{

namespace
{

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;

std::string describe(const ConfigurationRecord::Answer &answer, const std::string &what)
{
    return "node " + std::to_string(answer.node) + " answered " + std::to_string(answer.status) + " on the route of version "
        + std::to_string(answer.version) + ' ' + what;
}

} // namespace

void ConfigurationRecord::recordVersion(std::uint64_t version)
{
    const std::lock_guard lock(this->mutex);
    this->written.emplace(version, std::chrono::steady_clock::now());
}

std::uint64_t ConfigurationRecord::newest() const
{
    const std::lock_guard lock(this->mutex);
    return this->written.empty() ? 0 : this->written.rbegin()->first;
}

void ConfigurationRecord::recordAnswer(const Answer &answer)
{
    const std::lock_guard lock(this->mutex);
    this->answers.push_back(answer);
}

bool ConfigurationRecord::isDropped(const Answer &answer, std::chrono::milliseconds bound) const
{
    const auto next = this->written.upper_bound(answer.version);
    return next != this->written.end() && answer.sent > next->second + bound;
}

bool ConfigurationRecord::isInForce(const Answer &answer, std::chrono::milliseconds bound) const
{
    const auto next = this->written.upper_bound(answer.version);
    const bool isNewest = next == this->written.end() || answer.received < next->second;
    return isNewest && answer.sent > this->written.at(answer.version) + bound;
}

std::vector<std::string> ConfigurationRecord::violations(std::chrono::milliseconds bound,
                                                         std::chrono::milliseconds margin,
                                                         const Disturbances &disturbances) const
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> found;
    for (const Answer &answer : this->answers) {
        const bool isServed = answer.status == statusOk;
        if (isServed && answer.version < answer.effective) {
            found.push_back(describe(answer, "after one of version " + std::to_string(answer.effective)));
            continue;
        }
        const bool isLate
            = (isServed && this->isDropped(answer, bound)) || (answer.status == statusNotFound && this->isInForce(answer, bound));
        const Time from = answer.sent - bound - margin;
        if (isLate && !disturbances.overlaps(Disturbances::store, from, answer.received)
            && !disturbances.overlaps(Disturbances::nameOfNode(answer.node), from, answer.received)) {
            found.push_back(describe(answer, "later than it may"));
        }
    }
    return found;
}

std::string ConfigurationRecord::summary() const
{
    const std::lock_guard lock(this->mutex);
    const auto served = std::ranges::count(this->answers, statusOk, &Answer::status);
    return std::to_string(this->written.size()) + " configurations, " + std::to_string(served) + " of "
        + std::to_string(this->answers.size()) + " requests on their routes served";
}

} // namespace Dogwoodkeel
