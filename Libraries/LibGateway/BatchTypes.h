#pragma once

#include <LibBase/Identifiers.h>
#include <LibProxy/HeaderList.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** Names an item within all jobs. */
using ItemId = StrongType<struct ItemIdTag, std::string>;

/** One request of a batch job. */
struct JobItem
{
    ItemId id;
    /** Path and query that a replica gets. */
    std::string target;
    HeaderList headers;
    std::string body;
    /** Tokens of the prompt and of the longest output. */
    std::uint64_t tokens = 0;
};

/** How an item ended. */
enum class ItemOutcome {
    Completed,
    /** It can't be done, failed too often, or its job ended before it. */
    Abandoned,
};

/** The result of one item. */
struct ItemResult
{
    ItemId id;
    ItemOutcome outcome = ItemOutcome::Completed;
    /** The data of all its events, joined by line feeds. */
    std::string output;
};

} // namespace Dogwoodkeel
