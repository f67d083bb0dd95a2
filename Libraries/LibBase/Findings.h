#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** Where in a file something was found. */
struct SourcePlace
{
    std::string file;
    std::uint32_t line = 0;
    std::uint32_t column = 0;
};

/** One thing that is wrong, and where. */
struct Finding
{
    SourcePlace place;
    std::string message;

    /** @return "file:line:column: message". */
    std::string toString() const;
};

/** Collects all that is wrong, so that it is reported together. */
class Findings
{
public:
    /**
     * @param place where it is wrong
     * @param message what is wrong, for a person
     */
    void add(SourcePlace place, std::string message);

    bool isEmpty() const;
    const std::vector<Finding> &all() const;

    /** @return one line per finding. */
    std::string toString() const;

private:
    std::vector<Finding> list;
};

} // namespace Dogwoodkeel
