#pragma once

#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

/** When which node, or the store, was disturbed in such a way that promises with a time bound don't hold for it. */
class Disturbances
{
public:
    using Time = std::chrono::steady_clock::time_point;

    void note(const std::string &party, Time from, Time until);

    /** @return whether it was disturbed at any moment between. */
    bool isIn(const std::string &party, Time from, Time until) const;

private:
    std::map<std::string, std::vector<std::pair<Time, Time>>> spans;
};

} // namespace Dogwoodkeel
