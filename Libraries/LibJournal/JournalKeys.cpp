#include <LibJournal/JournalKeys.h>

#include <array>
#include <charconv>
#include <cstdio>

namespace Dogwoodkeel::JournalKeys
{

namespace
{

/** Fixed width, so that keys sort as their numbers do. */
std::string padded(std::uint64_t number)
{
    std::array<char, 24> text{};
    std::snprintf(text.data(), text.size(), "%020llu", static_cast<unsigned long long>(number));
    return text.data();
}

} // namespace

std::string session(SessionNumber number)
{
    return "session/" + padded(number.value());
}

std::string sessionsEnd()
{
    return "session0";
}

std::string group(SessionNumber session, GroupNumber number)
{
    return "journal/" + padded(session.value()) + '/' + padded(number.value());
}

GroupNumber groupOf(const std::string &key)
{
    const std::size_t digits = key.rfind('/') + 1;
    std::uint64_t number = 0;
    std::from_chars(key.data() + digits, key.data() + key.size(), number);
    return GroupNumber(number);
}

SessionNumber sessionOf(const std::string &groupKey)
{
    const std::size_t digits = groupKey.find('/') + 1;
    std::uint64_t number = 0;
    std::from_chars(groupKey.data() + digits, groupKey.data() + groupKey.size(), number);
    return SessionNumber(number);
}

std::string groupsEnd(SessionNumber session)
{
    return "journal/" + padded(session.value()) + '0';
}

std::string journalsEnd()
{
    return "journal0";
}

std::string groupObject(SessionNumber session, GroupNumber number, const std::string &nonce)
{
    return group(session, number) + '/' + nonce;
}

std::string shard(ShardNumber shard)
{
    return "shard/" + padded(shard.value());
}

std::string shardsEnd()
{
    return "shard0";
}

std::string checkpoint(ShardNumber shard, const std::string &nonce)
{
    return "state/" + padded(shard.value()) + "/checkpoint/" + nonce;
}

std::string run(ShardNumber shard, const std::string &nonce)
{
    return "state/" + padded(shard.value()) + "/run/" + nonce;
}

std::string block(ShardNumber shard, const std::string &nonce, std::size_t index)
{
    return "state/" + padded(shard.value()) + "/block/" + nonce + '/' + std::to_string(index);
}

} // namespace Dogwoodkeel::JournalKeys
