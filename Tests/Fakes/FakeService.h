#pragma once

#include <LibHttp/HttpReply.h>
#include <LibHttp/HttpServer.h>
#include <LibTask/EventLoop.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace Dogwoodkeel
{

/** Stand-in for a plain service: answers after a fixed delay and counts how often each request was run. */
class FakeService
{
public:
    FakeService(EventLoop &loop, const Address &address, std::chrono::milliseconds delay);

    const Address &address() const;

private:
    void serve(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply);

    EventLoop &loop;
    std::chrono::milliseconds delay;
    std::map<std::string, std::uint64_t> runs;
    HttpServer server;
};

} // namespace Dogwoodkeel
