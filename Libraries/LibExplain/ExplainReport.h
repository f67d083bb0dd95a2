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

    /** Sort what was taken. @return the account, as text for a terminal. */
    std::string text();

private:
    /** What the id's own lines are about. */
    struct Concern
    {
        std::set<std::string> vms;
        std::set<std::string> replicas;
        std::set<std::string> services;
    };

    std::string ownLines() const;
    std::string beliefs() const;
    std::string neighbours() const;
    std::string gaps() const;
    std::set<std::string> valuesOf(std::initializer_list<std::string_view> names) const;
    Concern concern() const;
    bool isConcerned(const LogLine &line, const Concern &concern) const;

    std::string id;
    // NOTE: In order of time once text() has sorted them: lines come file by file, and putting each one at its place would
    // move all that stand behind it.
    /** The lines that tell of the id. */
    std::vector<LogLine> own;
    /** Lines that tell of no single request. */
    std::vector<LogLine> general;
    /** Lines that tell of other requests and items that had to leave a replica. */
    std::vector<LogLine> departures;
};

} // namespace Dogwoodkeel
