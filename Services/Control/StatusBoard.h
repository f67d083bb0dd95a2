#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** A fault that degrades the service, and what an operator can do about it. */
struct Degradation
{
    std::string what;
    /** Empty if it recovers without action. */
    std::string remedy;
};

/** One part of a node's status. */
struct StatusPart
{
    /** The figures of the part, as a JSON object. */
    std::string json = "{}";
    std::vector<Degradation> degradations;
};

/**
 * Collects the parts of this node's status, each from the task that owns the data. To add a part, pass its name and a
 * function that calls back with it on the control task:
 *
 *     board.add("shards", [](auto done) { owner.post(... done(part) back on the control task ...); });
 */
class StatusBoard
{
public:
    using Collected = std::function<void(StatusPart)>;
    using Collect = std::function<void(Collected)>;

    void add(std::string name, Collect collect);

    /** @param done receives the report as a JSON object: each part under its name, and "degraded" */
    void report(std::function<void(std::string)> done) const;

private:
    struct Source
    {
        std::string name;
        Collect collect;
    };

    std::vector<Source> sources;
};

} // namespace Dogwoodkeel
