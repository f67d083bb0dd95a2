#pragma once

#include <LibHttp/HttpReply.h>
#include <LibHttp/HttpServer.h>
#include <LibTask/EventLoop.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Stand-in for a model engine with continuous batching: one step makes a token for every running stream, and takes
 * longer the more streams there are. Token n of a prompt is the same on every engine, so that a whole answer can be
 * checked wherever its parts came from.
 */
class FakeEngine
{
public:
    /** What a step costs. */
    struct Costs
    {
        std::chrono::microseconds step{2000};
        std::chrono::microseconds perStream{100};
        std::chrono::milliseconds prefill{5};
    };

    FakeEngine(EventLoop &loop, const Address &address, std::size_t capacity, Costs costs);

    const Address &address() const;

    /** @return the whole answer to a prompt. */
    static std::string expectedText(const std::string &prompt, std::uint32_t tokens);

    /** @return how often each prompt was started. */
    const std::map<std::string, std::uint32_t> &starts() const;

private:
    using Reply = std::shared_ptr<HttpReply>;

    struct Stream
    {
        Reply reply;
        std::string prompt;
        bool isChat = false;
        std::uint32_t next = 0;
        std::uint32_t end = 0;
    };

    void serve(const HttpRequest &request, const Reply &reply);
    void complete(const HttpRequest &request, const Reply &reply);
    void step();
    void armStep();
    void emit(Stream &stream);

    EventLoop &loop;
    std::size_t capacity;
    Costs costs;
    std::vector<Stream> streams;
    std::map<std::string, std::uint32_t> started;
    std::uint64_t tokens = 0;
    std::size_t mostStreams = 0;
    bool isStepping = false;
    HttpServer server;
};

} // namespace Dogwoodkeel
