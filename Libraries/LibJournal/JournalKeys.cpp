#include <LibJournal/JournalKeys.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <limits>
#include <system_error>

namespace Dogwoodkeel::JournalKeys
{

namespace
{

/** Formats a number with a fixed width, so that keys sort in numeric order. */
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

std::string statePrefix(ShardNumber shard)
{
    return "state/" + padded(shard.value()) + '/';
}

ShardEpoch epochOf(ShardNumber shard, const std::string &stateKey)
{
    const std::size_t kind = statePrefix(shard).size();
    const std::size_t digits = stateKey.find('/', std::min(kind, stateKey.size())) + 1;
    std::uint64_t epoch = 0;
    const auto [end, error] = std::from_chars(stateKey.data() + digits, stateKey.data() + stateKey.size(), epoch);
    return error == std::errc() ? ShardEpoch(epoch) : ShardEpoch(std::numeric_limits<std::uint64_t>::max());
}

std::string checkpoint(ShardNumber shard, const std::string &nonce)
{
    return statePrefix(shard) + "checkpoint/" + nonce;
}

std::string run(ShardNumber shard, const std::string &nonce)
{
    return statePrefix(shard) + "run/" + nonce;
}

std::string block(ShardNumber shard, const std::string &nonce, std::size_t index)
{
    return statePrefix(shard) + "block/" + nonce + '/' + std::to_string(index);
}

} // namespace Dogwoodkeel::JournalKeys
