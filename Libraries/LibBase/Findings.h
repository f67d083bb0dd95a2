#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** Position in a file. */
struct SourcePosition
{
    std::string file;
    std::uint32_t line = 0;
    std::uint32_t column = 0;
};

/** One error and its position. */
struct Finding
{
    SourcePosition place;
    std::string message;

    /** @return "file:line:column: message". */
    std::string toString() const;
};

/** Collects errors, so that they are reported together. */
class Findings
{
public:
    /**
     * @param place position of the error
     * @param message human-readable description of the error
     */
    void add(SourcePosition place, std::string message);

    bool isEmpty() const;
    const std::vector<Finding> &all() const;

    /** @return one line per finding. */
    std::string toString() const;

private:
    std::vector<Finding> list;
};

} // namespace Dogwoodkeel
