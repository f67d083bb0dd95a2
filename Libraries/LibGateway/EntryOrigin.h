#pragma once

#include <LibBase/Clock.h>
#include <LibPlatform/Outcomes.h>

#include <optional>
#include <string_view>

namespace Dogwoodkeel
{

/** From where a node received the entry of a replica. */
enum class EntrySource {
    /** Its own read of the store, or its own subscription to changes. */
    Store,
    /** The list of another node. */
    OtherNode,
    /** A few entries that it read from the store at its start; later changes are unknown. */
    Sample,
    /** The dispatcher, which assigned a slot at a replica that this node does not list. */
    Dispatcher,
};

/** @return the name of a source in logs. */
std::string_view nameOf(EntrySource source);

/** What a node's knowledge of an entry is based on. */
struct EntryOrigin
{
    EntrySource source = EntrySource::Store;
    /** The store's version of the entry, or that of the list it was received with; 0: unknown. */
    RowVersion version = 0;
    /** When the entry was last received. */
    SteadyTime received{};
};

/** The origin of the entry by which a request is sent, and what has happened to it since. */
struct EntryState
{
    EntryOrigin origin;
    /** When its removal became known; set only for an entry that is kept because it may have lapsed. */
    std::optional<SteadyTime> removed;
};

} // namespace Dogwoodkeel
