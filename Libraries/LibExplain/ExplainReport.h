#pragma once

#include <LibExplain/LogLine.h>

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Merges the log lines of several nodes into one report on a request, a batch job or an item: its own lines in order, the state
 * that its nodes knew at that time with its age, and failures of other requests at the same replicas.
 */
class ExplainReport
{
public:
    /** @param id of the request, job or item */
    explicit ExplainReport(std::string id);

    /** Adds a line of any node, in any order. */
    void add(LogLine line);

    /** @return whether any line mentions the id. */
    bool isKnown() const;

    /** Sorts the added lines. @return the report, as text for a terminal. */
    std::string text();

private:
    /** VMs, replicas and services that the id's own lines refer to. */
    struct Subjects
    {
        std::set<std::string> vms;
        std::set<std::string> replicas;
        std::set<std::string> services;
    };

    std::string ownLines() const;
    std::string nodeKnowledge() const;
    std::string relatedFailures() const;
    std::string gaps() const;
    std::set<std::string> valuesOf(std::initializer_list<std::string_view> names) const;
    Subjects subjects() const;
    bool isRelevant(const LogLine &line, const Subjects &subjects) const;

    std::string id;
    // NOTE: Ordered by time only after text() has sorted them: lines arrive file by file, and inserting each in order would move
    // all later ones.
    /** Lines that mention the id. */
    std::vector<LogLine> own;
    /** Lines that belong to no single request, item or job. */
    std::vector<LogLine> general;
    /** Lines about other requests and items that had to leave a replica. */
    std::vector<LogLine> departures;
};

} // namespace Dogwoodkeel
