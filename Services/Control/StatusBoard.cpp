#include <Services/Control/StatusBoard.h>

#include <nlohmann/json.hpp>

#include <utility>

namespace Dogwoodkeel
{

namespace
{

using Json = nlohmann::json;

struct Collection
{
    Json report = Json::object();
    std::size_t missing = 0;
    std::function<void(std::string)> done;
};

void addPart(Collection &collection, const std::string &name, const StatusPart &part)
{
    collection.report[name] = Json::parse(part.json, nullptr, false);
    for (const Degradation &degradation : part.degradations) {
        collection.report["degraded"].push_back({{"what", degradation.what}, {"do", degradation.remedy}});
    }
    if (--collection.missing == 0) {
        collection.done(collection.report.dump());
    }
}

} // namespace

void StatusBoard::add(std::string name, Collect collect)
{
    this->sources.push_back({std::move(name), std::move(collect)});
}

void StatusBoard::report(std::function<void(std::string)> done) const
{
    const auto collection = std::make_shared<Collection>();
    collection->report["degraded"] = Json::array();
    collection->missing = this->sources.size();
    collection->done = std::move(done);
    if (this->sources.empty()) {
        collection->done(collection->report.dump());
        return;
    }
    for (const Source &source : this->sources) {
        source.collect([collection, name = source.name](const StatusPart &part) {
            addPart(*collection, name, part);
        });
    }
}

} // namespace Dogwoodkeel
