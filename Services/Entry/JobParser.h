#pragma once

#include <LibBase/Findings.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** What a job's submission may be at most. */
struct JobBounds
{
    std::size_t items = 0;
    std::size_t itemBytes = 0;
    std::size_t itemsPerObject = 0;
};

/** The items of a submitted job, in the pieces they are stored in. */
struct ParsedJob
{
    /** The model that all items are for. */
    std::string model;
    std::uint32_t itemCount = 0;
    /** Lines of itemsPerObject items each. */
    std::vector<std::string> objects;
};

/**
 * Check a job's items: each line is a JSON object with a model and a prompt or messages, all for one model.
 * @param body JSON lines; empty lines are left out
 * @param bounds what is accepted
 * @param findings gets every line that is wrong, up to a fixed number
 * @return the items; of use only without findings
 */
ParsedJob parseJob(const std::string &body, const JobBounds &bounds, Findings &findings);

} // namespace Dogwoodkeel
