#include <Tests/Fakes/FakePlatform.h>

#include <LibPlatform/PlatformProtocol.h>

#include <nlohmann/json.hpp>

namespace Dogwoodkeel
{

namespace
{

constexpr std::uint64_t bodyLimit = 268435456;
constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusConditionFailed = 412;
constexpr int statusUnavailable = 503;

std::string keyOf(const HttpRequest &request)
{
    return queryValue(request.query, "key").value_or(std::string());
}

} // namespace

FakePlatform::FakePlatform(EventLoop &loop, const Address &address, std::uint64_t seed)
    : loop(loop), random(seed), server(loop, address, {bodyLimit}, [this](const HttpRequest &request, const Reply &reply) {
        this->serve(request, reply);
    })
{
}

const Address &FakePlatform::address() const
{
    return this->server.address();
}

PlatformFaults &FakePlatform::faults()
{
    return this->fault;
}

EmbeddedStore &FakePlatform::store()
{
    return this->data;
}

void FakePlatform::serve(const HttpRequest &request, const Reply &reply)
{
    if (request.path == "/faults") {
        this->setFaults(request, reply);
        return;
    }
    if (request.path == "/counts") {
        reply->send({statusOk, {}, nlohmann::json({{"reads", this->reads}, {"writes", this->writes}}).dump()});
        return;
    }
    if (this->fault.isUnresponsive) {
        this->unanswered.push_back(reply);
        return;
    }
    if (this->fault.isDown) {
        reply->send({statusUnavailable, {}, {}});
        return;
    }
    bool isWrite = false;
    HttpResponse response = this->answer(request, isWrite);
    ++(isWrite ? this->writes : this->reads);
    const bool isLost = isWrite && std::bernoulli_distribution(this->fault.lostAnswers)(this->random);
    if (isLost) {
        this->unanswered.push_back(reply);
        return;
    }
    if (this->fault.delay.count() == 0) {
        reply->send(response);
        return;
    }
    this->loop.schedule(this->fault.delay, [reply, response = std::move(response)] {
        reply->send(response);
    });
}

HttpResponse FakePlatform::answer(const HttpRequest &request, bool &isWrite)
{
    if (request.path == PlatformProtocol::rowPath) {
        const auto row = this->data.read(keyOf(request));
        return row ? HttpResponse{statusOk, {}, PlatformProtocol::encodeRow(*row)} : HttpResponse{statusNotFound, {}, {}};
    }
    if (request.path == PlatformProtocol::rangePath) {
        const auto range = PlatformProtocol::decodeRange(request.body);
        if (!range) {
            return {statusBadRequest, {}, {}};
        }
        return {statusOk, {}, PlatformProtocol::encodeRows(this->data.readRange(range->from, range->to, range->limit))};
    }
    if (request.path == PlatformProtocol::transactionPath) {
        isWrite = true;
        const auto transaction = PlatformProtocol::decodeTransaction(request.body);
        if (!transaction) {
            return {statusBadRequest, {}, {}};
        }
        return {this->data.transact(*transaction) ? statusOk : statusConditionFailed, {}, {}};
    }
    if (request.path == PlatformProtocol::vmsPath) {
        return {statusOk, {}, PlatformProtocol::encodeVms(this->vms)};
    }
    if (request.path == PlatformProtocol::listPath) {
        return {statusOk, {}, PlatformProtocol::encodeKeys(this->data.list(keyOf(request)))};
    }
    if (request.path == PlatformProtocol::objectPath) {
        return this->answerObject(request, isWrite);
    }
    return {statusNotFound, {}, {}};
}

HttpResponse FakePlatform::answerObject(const HttpRequest &request, bool &isWrite)
{
    isWrite = request.method != "GET";
    const std::string key = keyOf(request);
    if (request.method == "PUT") {
        return {this->data.putIfAbsent(key, request.body) ? statusOk : statusConditionFailed, {}, {}};
    }
    if (request.method == "DELETE") {
        this->data.remove(key);
        return {statusOk, {}, {}};
    }
    const auto content = this->data.get(key);
    return content ? HttpResponse{statusOk, {}, *content} : HttpResponse{statusNotFound, {}, {}};
}

void FakePlatform::setFaults(const HttpRequest &request, const Reply &reply)
{
    const nlohmann::json requested = nlohmann::json::parse(request.body, nullptr, false);
    if (!requested.is_object()) {
        reply->send({statusBadRequest, {}, {}});
        return;
    }
    this->fault.lostAnswers = requested.value("lost_answers", this->fault.lostAnswers);
    this->fault.delay = std::chrono::milliseconds(requested.value("delay_ms", this->fault.delay.count()));
    this->fault.isDown = requested.value("down", this->fault.isDown);
    this->fault.isUnresponsive = requested.value("silent", this->fault.isUnresponsive);
    if (requested.contains("vms")) {
        this->vms.clear();
        for (const nlohmann::json &vm : requested["vms"]) {
            this->vms.push_back({VmName(vm.at("name")), vm.value("leaving", false)});
        }
    }
    reply->send({statusOk, {}, "{}"});
}

} // namespace Dogwoodkeel
