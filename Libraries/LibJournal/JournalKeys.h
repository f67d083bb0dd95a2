#pragma once

#include <LibBase/Identifiers.h>

#include <string>

/** Names of the rows and objects that sessions, journals and shards are kept in. */
namespace Dogwoodkeel::JournalKeys
{

/** The row that the next session number is taken from. */
inline constexpr const char *sessionCounter = "session-counter";

/** @return the row of a session. */
std::string session(SessionNumber number);
/** @return the first key behind all session rows. */
std::string sessionsEnd();
/** @return the row of a group; keys of one journal sort by group. */
std::string group(SessionNumber session, GroupNumber number);
/** @return the number of a group, from the key of its row; 0 if the key is no such key. */
GroupNumber groupOf(const std::string &key);
/** @return whose journal a group's row belongs to; 0 if the key is no such key. */
SessionNumber sessionOf(const std::string &groupKey);
/** @return the first key behind all groups of a journal. */
std::string groupsEnd(SessionNumber session);
/** @return the first key behind all journals. */
std::string journalsEnd();
/** @return the object that holds a large group's records. */
std::string groupObject(SessionNumber session, GroupNumber number, const std::string &nonce);
/** @return the row of a shard. */
std::string shard(ShardNumber shard);
/** @return the first key behind all shard rows. */
std::string shardsEnd();
/** @return what the keys of all objects of a shard's state begin with. */
std::string statePrefix(ShardNumber shard);
/** @return the epoch that an object of a shard's state was written in; the highest if the key is no such key. */
ShardEpoch epochOf(ShardNumber shard, const std::string &stateKey);
/** @return the object of a checkpoint. @param nonce begins with the epoch */
std::string checkpoint(ShardNumber shard, const std::string &nonce);
/** @return the object that describes a run of result blocks. */
std::string run(ShardNumber shard, const std::string &nonce);
/** @return the object of one block of a run. */
std::string block(ShardNumber shard, const std::string &nonce, std::size_t index);

} // namespace Dogwoodkeel::JournalKeys
