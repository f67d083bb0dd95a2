#pragma once

#include <LibExplain/LogLine.h>

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Joins the lines of several nodes into one account of what became of a request, a batch job or an item: its own lines in
 * order, what the nodes that handled it believed then and how old that was, and what befell others at the same replicas.
 */
class Account
{
public:
    /** @param id of the request, job or item */
    explicit Account(std::string id);

    /** Take a line of any node, in any order. */
    void add(LogLine line);

    /** @return whether any line tells of the id. */
    bool isKnown() const;

    /** @return the account, as text for a terminal. */
    std::string text() const;

private:
    std::string ownLines() const;
    std::string beliefs() const;
    std::string neighbours() const;
    std::string gaps() const;
    std::set<std::string> valuesOf(std::initializer_list<std::string_view> names) const;
    bool isConcerned(const LogLine &line) const;

    std::string id;
    /** The lines that tell of the id, in order of time. */
    std::vector<LogLine> own;
    /** Lines that tell of no single request, in order of time. */
    std::vector<LogLine> general;
    /** Lines that tell of other requests and items that had to leave a replica, in order of time. */
    std::vector<LogLine> departures;
};

} // namespace Dogwoodkeel
