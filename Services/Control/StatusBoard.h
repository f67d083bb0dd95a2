#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** Something that does not work as it should, and what an operator can do. */
struct Degradation
{
    std::string what;
    /** Empty: it heals by itself. */
    std::string remedy;
};

/** One part of a node's status. */
struct StatusPart
{
    /** A JSON object: the part's figures. */
    std::string json = "{}";
    std::vector<Degradation> degradations;
};

/**
 * Collects the parts of this node's status, each from the task that knows it. To add a part, hand in its name and a
 * function that calls back with it, on the control task:
 *
 *     board.add("shards", [](auto done) { owner.post(... done(part) back on the control task ...); });
 */
class StatusBoard
{
public:
    using Collected = std::function<void(StatusPart)>;
    using Collect = std::function<void(Collected)>;

    void add(std::string name, Collect collect);

    /** @param done gets the report as a JSON object: each part under its name, and "degraded" */
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
