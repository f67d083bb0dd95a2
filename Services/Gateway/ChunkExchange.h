#pragma once

#include <LibGateway/ChunkFetcher.h>
#include <LibGateway/ChunkStore.h>
#include <LibPlatform/RowStore.h>
#include <Services/Gateway/PeerNetwork.h>

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace Dogwoodkeel
{

/** Sends large values of rows to other nodes in chunks, and fetches theirs. */
class ChunkExchange
{
public:
    ChunkExchange(Scheduler &scheduler, PeerNetwork &peers, std::uint64_t seed);
    ChunkExchange(const ChunkExchange &) = delete;
    ChunkExchange &operator=(const ChunkExchange &) = delete;

    /** Makes the value of a row available to other nodes, in place of its former one. @return its outline */
    const TextOutline &publish(const RowKey &row, std::string_view value);

    /** @return the message for a row; instead of a large value it has the outline, and the value is made available. */
    FeedRow encode(const StoredRow &row);

    /**
     * Fetches the value of a row, and makes it available to other nodes.
     * @param source the node that sent the outline
     * @param done receives the value, or nothing if no node sends it any more
     * @param progressed called whenever a part of it has arrived
     */
    void fetch(
        const RowKey &row,
        const TextOutline &outline,
        const Address &source,
        ChunkFetcher::Fetched done,
        std::function<void()> progressed = [] {});

private:
    ChunkAnswer answer(const ChunkRequest &request) const;
    void request(const Address &node,
                 const ChunkRequest &request,
                 std::chrono::milliseconds timeout,
                 const ChunkFetcher::Answered &answered);
    std::vector<Address> membersWithNewerConfiguration();

    PeerNetwork &peers;
    std::minstd_rand random;
    ChunkStore store;
    ChunkFetcher fetcher;
};

} // namespace Dogwoodkeel
