#include <Services/Gateway/ChunkExchange.h>

#include <Services/Gateway/TableRelay.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** A larger value is sent in chunks: it could fill the link of a small VM for longer than a call may take. */
constexpr std::size_t maxInlineBytes = 16384;
/** Other nodes that are considered for one request. */
constexpr std::size_t maxOtherSources = 3;
/** Bounds the size of an answer, whatever is requested. */
constexpr std::size_t maxAnswerBytes = 65536;

std::string nameOf(const RowKey &row)
{
    return row.table + '/' + row.part + '/' + row.key;
}

} // namespace

ChunkExchange::ChunkExchange(Scheduler &scheduler, PeerNetwork &peers, std::uint64_t seed)
    : peers(peers)
    , random(static_cast<std::minstd_rand::result_type>(seed))
    , fetcher(scheduler,
              this->store,
              seed,
              {.request =
                   [this](const Address &node,
                          const ChunkRequest &request,
                          std::chrono::milliseconds timeout,
                          const ChunkFetcher::Answered &answered) {
                       this->request(node, request, timeout, answered);
                   },
               .otherSources =
                   [this] {
                       return this->membersWithNewerConfiguration();
                   }})
{
    peers.server().handle<ChunkRequest>([this](const ChunkRequest &request, const auto &respond) {
        respond(this->answer(request));
    });
}

const TextOutline &ChunkExchange::publish(const RowKey &row, std::string_view value)
{
    return this->store.put(nameOf(row), value);
}

FeedRow ChunkExchange::encode(const StoredRow &row)
{
    if (row.isRemoved) {
        this->store.remove(nameOf(row.key));
    }
    if (row.isRemoved || row.value.size() <= maxInlineBytes) {
        return encodeWholeRow(row);
    }
    return {row.key.part, row.key.key, {}, row.version, false, this->publish(row.key, row.value)};
}

void ChunkExchange::fetch(const RowKey &row,
                          const TextOutline &outline,
                          const Address &source,
                          ChunkFetcher::Fetched done,
                          std::function<void()> progressed)
{
    const auto receive = [this, name = nameOf(row), outline, done = std::move(done)](std::optional<std::string> value) {
        if (value) {
            this->store.put(name, outline);
        }
        done(std::move(value));
    };
    this->fetcher.fetch(outline, source, receive, std::move(progressed));
}

ChunkAnswer ChunkExchange::answer(const ChunkRequest &request) const
{
    ChunkAnswer answer;
    std::size_t bytes = 0;
    for (const std::uint64_t digest : request.digests) {
        const std::string *const content = this->store.find(digest);
        bytes += content != nullptr ? content->size() : 0;
        answer.chunks.push_back(content != nullptr && bytes <= maxAnswerBytes ? *content : std::string());
    }
    return answer;
}

void ChunkExchange::request(const Address &node,
                            const ChunkRequest &request,
                            std::chrono::milliseconds timeout,
                            const ChunkFetcher::Answered &answered)
{
    this->peers.client().call(node, request, timeout, [answered](const CallResult<ChunkAnswer> &result) {
        answered(result.response ? &*result.response : nullptr);
    });
}

// They have the chunks of the newest configuration, which is by far the largest value.
std::vector<Address> ChunkExchange::membersWithNewerConfiguration()
{
    const MemberViewPointer view = this->peers.view();
    const Member *const own = view->find(this->peers.self());
    if (own == nullptr) {
        return {};
    }
    std::vector<Address> found;
    for (const Member &member : view->members()) {
        const bool isNear = member.failureDomain == own->failureDomain && !member.isLeaving;
        if (isNear && member.configVersion > own->configVersion) {
            found.push_back(member.owner);
        }
    }
    std::ranges::shuffle(found, this->random);
    found.resize(std::min(found.size(), maxOtherSources));
    return found;
}

} // namespace Dogwoodkeel
