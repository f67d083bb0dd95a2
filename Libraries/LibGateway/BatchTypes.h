#pragma once

#include <LibBase/Identifiers.h>
#include <LibProxy/HeaderList.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** Identifies an item among the items of all jobs. */
using ItemId = StrongType<struct ItemIdTag, std::string>;

/** One request of a batch job. */
struct JobItem
{
    ItemId id;
    /** Path and query of the request that is sent to a replica. */
    std::string target;
    HeaderList headers;
    std::string body;
    /** Tokens of the prompt plus the maximum number of output tokens. */
    std::uint64_t tokens = 0;
};

/** The final state of an item. */
enum class ItemOutcome {
    Completed,
    /** The item is invalid, failed too often, or its job ended before the item completed. */
    Abandoned,
};

/** The result of one item. */
struct ItemResult
{
    ItemId id;
    ItemOutcome outcome = ItemOutcome::Completed;
    /** The data of all events of the output stream, joined by line feeds. */
    std::string output;
};

} // namespace Dogwoodkeel
