#pragma once

#include <LibWire/Generated/Messages.h>

#include <cstddef>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Chooses the members that hold a journal and own shards, when not all may.
 *
 * They are spread over the failure domains, and within a domain the members that have been there longest are taken: one
 * that joins, or comes and goes, takes nobody's place, and one that is lost is followed by a single other. All nodes
 * with the same members choose the same.
 * @param members in any order
 * @param most how many may hold a journal
 * @return their places in the list, in its order; empty if all that are not leaving may
 */
std::vector<std::size_t> chooseJournalHolders(const std::vector<Member> &members, std::size_t most);

} // namespace Dogwoodkeel
