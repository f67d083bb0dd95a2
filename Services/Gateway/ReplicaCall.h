#pragma once

#include <LibProxy/OutboundPool.h>

#include <memory>
#include <string>
#include <string_view>

namespace Dogwoodkeel
{

/** Whoever has sent a request to a replica and takes its answer. */
class ReplicaAnswerTaker
{
public:
    virtual ~ReplicaAnswerTaker() = default;

    /** The answer's head has come. */
    virtual void takeHead(const MessageHead &head) = 0;
    /** A part of its body has come. */
    virtual void takeBody(std::string_view data) = 0;
    /** Nothing more comes. */
    virtual void takeEnd(CallEnd end) = 0;
};

/** @return hooks that pass an answer on to the taker, and keep it as long as the call lasts. */
CallHooks hooksFor(const std::shared_ptr<ReplicaAnswerTaker> &taker);

/**
 * @param id of the request that was sent
 * @return whether a head answers it; an answer that names another request was left on the connection by it
 */
std::function<bool(const MessageHead &)> isAnswerTo(std::string id);

} // namespace Dogwoodkeel
