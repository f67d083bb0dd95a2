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

/** The items of a job or a file, all of them stored. */
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

/** @return a hash of the text as 32 hexadecimal digits, the same on every node. */
std::string contentName(std::string_view content);

/**
 * Takes a body of items as it arrives and stores it. Reading stops while the platform is slow, so that what waits here
 * stays within a few chunks however large the job is. On bad input the caller is told each wrong line, and nothing is
 * accepted.
 *
 * NOTE: What was stored by then stays. It is named by its content, so that a resend writes nothing twice; for the same
 * reason it may already belong to another submission of the same job, and must not be removed here.
 */
class JobUpload : public std::enable_shared_from_this<JobUpload>
{
public:
    /**
     * @param folder where the objects go
     * @param stored told once, when all items are stored; not after a refusal
     */
    JobUpload(EntryContext &context,
              std::string folder,
              std::shared_ptr<HttpReply> reply,
              std::function<void(StoredItems)> stored);

    /** @return what the server gives the body to. */
    BodyHooks hooks();

private:
    struct Pending
    {
        std::string key;
        std::string content;
    };

    void onData(std::string_view data);
    void onEnd();
    void takeChunks();
    void putNext();
    void onPut(WriteOutcome outcome);
    void refuseItems();
    void giveUp();

    EntryContext &context;
    std::string folder;
    std::shared_ptr<HttpReply> reply;
    std::function<void(StoredItems)> stored;
    JobParser parser;
    StoredItems items;
    std::deque<Pending> pending;
    SteadyTime lastProgress;
    bool isPutting = false;
    bool isEnded = false;
    bool isOver = false;
};

} // namespace Dogwoodkeel
