#pragma once

#include <LibWire/Generated/Messages.h>

#include <cstddef>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Selects the members that hold a journal and own shards, if not all may.
 *
 * The journals are spread over the failure domains. Within a domain the members with the oldest sessions are selected, so a
 * member that joins replaces none, and one that is lost is replaced by a single other. All nodes with the same members select
 * the same.
 * @param members the members in any order
 * @param maxHolders how many may hold a journal
 * @return their indexes in the list, in ascending order; empty if all members that are not leaving may hold one
 */
std::vector<std::size_t> selectJournalHolders(const std::vector<Member> &members, std::size_t maxHolders);

} // namespace Dogwoodkeel
