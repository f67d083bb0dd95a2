#include <LibRouting/Quarantine.h>

#include <LibBase/Hash.h>
#include <LibBase/JsonDepth.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>

namespace Dogwoodkeel
{

ContentFingerprint contentFingerprint(std::string_view serves, std::string_view body)
{
    const std::uint64_t seed = stableHash(serves);
    const auto json = isNestedTooDeep(body) ? nlohmann::json() : nlohmann::json::parse(body, nullptr, false);
    if (json.is_object()) {
        for (const char *const key : {"messages", "prompt"}) {
            if (const auto found = json.find(key); found != json.end()) {
                return ContentFingerprint(
                    stableHash(found->dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), seed));
            }
        }
    }
    return ContentFingerprint(stableHash(body, seed));
}

Quarantine::Quarantine(const Clock &clock, Options options) : clock(clock), options(options)
{
}

const Quarantine::Record *Quarantine::find(ContentFingerprint request) const
{
    const auto found = this->records.find(request);
    const bool isCurrent = found != this->records.end() && this->clock.now() < found->second.until;
    return isCurrent ? &found->second : nullptr;
}

void Quarantine::setOptions(const Options &options)
{
    this->options = options;
}

QuarantineStatus Quarantine::status(ContentFingerprint request) const
{
    const Record *const record = this->find(request);
    if (record == nullptr) {
        return QuarantineStatus::Clear;
    }
    return record->losses.size() >= this->options.losses ? QuarantineStatus::Quarantined : QuarantineStatus::Suspect;
}

std::chrono::milliseconds Quarantine::remaining(ContentFingerprint request) const
{
    if (this->status(request) != QuarantineStatus::Quarantined) {
        return std::chrono::milliseconds(0);
    }
    return std::chrono::ceil<std::chrono::milliseconds>(this->find(request)->until - this->clock.now());
}

QuarantineStatus Quarantine::recordLoss(ContentFingerprint request, const EndpointLoss &loss)
{
    this->removeExpired();
    if (this->find(request) == nullptr) {
        this->records[request] = {};
    }
    Record &record = this->records[request];
    const bool isSameEvent = std::ranges::any_of(record.losses, [&loss](const EndpointLoss &known) {
        return known.failureDomain == loss.failureDomain && loss.sent <= known.seen;
    });
    if (!isSameEvent) {
        record.losses.push_back(loss);
        record.until = this->clock.now() + this->options.duration;
        this->insertionOrder.emplace_back(this->clock.now(), request);
    }
    return this->status(request);
}

bool Quarantine::recordSuccess(ContentFingerprint request)
{
    return this->records.erase(request) > 0;
}

std::vector<EndpointLoss> Quarantine::recordedLosses(ContentFingerprint request) const
{
    const Record *const record = this->find(request);
    return record != nullptr ? record->losses : std::vector<EndpointLoss>();
}

std::vector<ContentFingerprint> Quarantine::quarantined() const
{
    std::vector<ContentFingerprint> found;
    for (const auto &[request, record] : this->records) {
        if (this->status(request) == QuarantineStatus::Quarantined) {
            found.push_back(request);
        }
    }
    return found;
}

std::size_t Quarantine::size() const
{
    return this->records.size();
}

void Quarantine::removeExpired()
{
    while (!this->insertionOrder.empty()) {
        const auto &[since, request] = this->insertionOrder.front();
        const auto found = this->records.find(request);
        const bool isStale = found == this->records.end() || found->second.until != since + this->options.duration;
        const bool isExpired = since + this->options.duration <= this->clock.now();
        const bool isFull = this->records.size() >= this->options.maxRecords;
        if (!isStale && !isExpired && !isFull) {
            return;
        }
        if (!isStale) {
            this->records.erase(found);
        }
        this->insertionOrder.pop_front();
    }
}

} // namespace Dogwoodkeel
