#pragma once

#include <LibHttp/HttpReply.h>
#include <LibHttp/HttpServer.h>
#include <Services/Entry/EntryContext.h>
#include <Services/Entry/JobParser.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Dogwoodkeel
{

/** Describes the stored items of a job or file. */
struct StoredItems
{
    std::string model;
    std::uint64_t fingerprint = 0;
    std::uint32_t itemCount = 0;
    std::uint32_t itemsPerObject = 0;
    /** Keys of the objects that hold the items, in order. */
    std::vector<std::string> objects;
    /** Keys of the objects that hold their custom ids, in the same order; empty if no item has any. */
    std::vector<std::string> idObjects;
};

/** @return a hash of the content as 32 hexadecimal digits, the same on every node. */
std::string contentHash(std::string_view content);

/**
 * Stores the items of a request body as they arrive. Pauses reading while the platform is slow, so that only a few
 * chunks are buffered whatever the size of the job. If a line is invalid, the whole body is refused, and the response
 * lists the invalid lines.
 *
 * NOTE: Objects stored before a refusal remain. Their keys are derived from their content, so that a resend does not
 * write them twice; for the same reason they may already belong to another submission of the same job, and must not be
 * removed here.
 */
class JobUpload : public std::enable_shared_from_this<JobUpload>
{
public:
    /**
     * @param folder key prefix of the stored objects
     * @param onStored called once, when all items are stored; not called after a refusal
     */
    JobUpload(EntryContext &context,
              std::string folder,
              std::shared_ptr<HttpReply> reply,
              std::function<void(StoredItems)> onStored);

    /** @return the hooks through which the server passes the body. */
    BodyHooks hooks();

private:
    struct Pending
    {
        std::string key;
        std::string content;
    };

    void onData(std::string_view data);
    void onEnd();
    void queueChunks();
    void putNext();
    void onPut(WriteOutcome outcome);
    /** Stops the upload, and frees what is not stored yet: a pending write may keep this object for a long time. */
    void finish();
    void refuseItems();
    void refuseNotStored();

    EntryContext &context;
    std::string folder;
    std::shared_ptr<HttpReply> reply;
    std::function<void(StoredItems)> onStored;
    JobParser parser;
    StoredItems items;
    std::deque<Pending> pending;
    SteadyTime lastProgress;
    bool isPutting = false;
    bool isEnded = false;
    bool isFinished = false;
};

} // namespace Dogwoodkeel
