#include <Services/Owner/ResultReader.h>

#include <LibWire/Codec.h>

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

namespace
{

constexpr std::size_t resultCacheBytes = 8388608;
constexpr std::size_t resultsPerPage = 1000;

std::shared_ptr<const ResultPage> parsePage(const std::string &content)
{
    auto page = decode<ResultPage>(content);
    return page ? std::make_shared<const ResultPage>(std::move(*page)) : nullptr;
}

} // namespace

struct ResultReader::Reading
{
    JobResultsRequest request;
    Respond respond;
    PageOfResults page;
    std::size_t pending = 1;
    bool hasFailed = false;
};

ResultReader::ResultReader(ObjectStore &objects) : pages(objects, resultCacheBytes, parsePage)
{
}

void ResultReader::read(const JobResultsRequest &request, PageOfResults page, const Respond &respond)
{
    const auto reading = std::make_shared<Reading>(Reading{request, respond, std::move(page)});
    const std::vector<std::string> keys = reading->page.objects;
    reading->pending += keys.size();
    for (const std::string &key : keys) {
        this->pages.read(key, [reading](const std::shared_ptr<const ResultPage> &object) {
            if (object != nullptr) {
                std::ranges::copy(object->results, std::back_inserter(reading->page.inMemory));
            } else {
                reading->hasFailed = true;
            }
            finishOne(*reading);
        });
    }
    finishOne(*reading);
}

void ResultReader::finishOne(Reading &reading)
{
    if (--reading.pending > 0) {
        return;
    }
    if (reading.hasFailed) {
        // The object cannot be read now. Without it, the items of the page would appear as not done.
        reading.respond({.state = JobState::NotOwner});
        return;
    }
    std::vector<ItemRecord> &results = reading.page.inMemory;
    std::erase_if(results, [&reading](const ItemRecord &result) {
        return result.index < reading.request.from;
    });
    std::ranges::sort(results, {}, &ItemRecord::index);
    const std::size_t limit = std::min<std::size_t>(std::max(reading.request.limit, 1U), resultsPerPage);
    JobResultsResponse response;
    response.state = reading.page.state;
    response.next = reading.page.end;
    if (results.size() > limit) {
        response.next = results[limit].index;
        results.resize(limit);
    }
    response.results = std::move(results);
    reading.respond(response);
}

} // namespace Dogwoodkeel
