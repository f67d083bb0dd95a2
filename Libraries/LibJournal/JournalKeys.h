#pragma once

#include <LibBase/Identifiers.h>

#include <string>

/** Keys of the table rows and objects that store sessions, journals and shards. */
namespace Dogwoodkeel::JournalKeys
{

/** Key of the row that holds the last assigned session number. */
inline constexpr const char *sessionCounter = "session-counter";

/** @return the row key of a session. */
std::string session(SessionNumber number);
/** @return the exclusive end of the key range of all session rows. */
std::string sessionsEnd();
/** @return the row key of a group; keys of one journal sort by group number. */
std::string group(SessionNumber session, GroupNumber number);
/** @return the group number in the key of a group's row; 0 if the key has another form. */
GroupNumber groupOf(const std::string &key);
/** @return the session whose journal a group's row belongs to; 0 if the key has another form. */
SessionNumber sessionOf(const std::string &groupKey);
/** @return the exclusive end of the key range of a journal's groups. */
std::string groupsEnd(SessionNumber session);
/** @return the exclusive end of the key range of all journals. */
std::string journalsEnd();
/** @return the key of the object that holds the records of a large group. */
std::string groupObject(SessionNumber session, GroupNumber number, const std::string &nonce);
/** @return the row key of a shard. */
std::string shard(ShardNumber shard);
/** @return the exclusive end of the key range of all shard rows. */
std::string shardsEnd();
/** @return the common key prefix of all objects of a shard's state. */
std::string statePrefix(ShardNumber shard);
/** @return the epoch in which an object of a shard's state was written; the max epoch if the key has another form. */
ShardEpoch epochOf(ShardNumber shard, const std::string &stateKey);
/** @return the object key of a checkpoint. @param nonce starts with the epoch */
std::string checkpoint(ShardNumber shard, const std::string &nonce);
/** @return the key of the object that describes a run of result blocks. */
std::string run(ShardNumber shard, const std::string &nonce);
/** @return the object key of one block of a run. */
std::string block(ShardNumber shard, const std::string &nonce, std::size_t index);

} // namespace Dogwoodkeel::JournalKeys
