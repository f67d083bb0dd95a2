#pragma once

#include <LibFleet/Replica.h>
#include <LibHttp/HttpClient.h>
#include <LibHttp/ServerSentEvents.h>
#include <LibWire/Generated/Messages.h>

#include <functional>
#include <memory>
#include <string>

namespace Dogwoodkeel
{

/** A batch item with the tokens it has so far, which are kept when it has to yield. */
struct HeldItem
{
    BatchItem item;
    std::string text;
    std::uint32_t tokens = 0;
    std::uint32_t attempts = 0;
};

/** How a run of an item ended. */
enum class RunEnd {
    Finished,
    /** The endpoint said that the item itself is wrong. */
    Rejected,
    /** The endpoint was lost or broke off. */
    Lost,
    /** The endpoint refused it before running. */
    Refused,
};

/** One run of a batch item at an engine. */
class ItemRun : public std::enable_shared_from_this<ItemRun>
{
public:
    using Ended = std::function<void(RunEnd, const std::string &detail)>;

    ItemRun(HttpClient &http, HeldItem held);

    /** @param ended told once, unless stop() comes first */
    void start(const Address &engine, Ended ended);

    /** Cancel it at the engine. @return the item, with the tokens it got */
    HeldItem stop();

    const HeldItem &held() const;

private:
    std::string engineBody() const;
    void onData(std::string_view data);
    void onEnd(ExchangeEnd end);
    void finish(RunEnd end, const std::string &detail);

    HttpClient &http;
    HeldItem current;
    Ended ended;
    HttpClient::ExchangeId exchange = 0;
    ServerSentEvents events;
    std::string finishReason;
    std::string errorBody;
    int status = 0;
    bool sawEnd = false;
};

} // namespace Dogwoodkeel
