#pragma once

#include <LibHttp/HttpReply.h>
#include <LibHttp/HttpServer.h>
#include <LibPlatform/EmbeddedStore.h>
#include <LibPlatform/VmList.h>
#include <LibTask/EventLoop.h>

#include <memory>
#include <random>
#include <vector>

namespace Dogwoodkeel
{

/** Faults that the stand-in for the platform injects; set by POST /faults. */
struct PlatformFaults
{
    /** Fraction of writes whose answer is lost after they took effect. */
    double lostAnswers = 0;
    /** Delay added to every answer. */
    std::chrono::milliseconds delay{0};
    /** Whether every call is rejected with 503 without being processed. */
    bool isDown = false;
    /** Whether calls are accepted and never answered. */
    bool isUnresponsive = false;
};

/** Stand-in for the platform's service: tables, objects and the VM list. Injects faults and counts calls. */
class FakePlatform
{
public:
    FakePlatform(EventLoop &loop, const Address &address, std::uint64_t seed);

    const Address &address() const;
    PlatformFaults &faults();
    EmbeddedStore &store();

private:
    using Reply = std::shared_ptr<HttpReply>;

    void serve(const HttpRequest &request, const Reply &reply);
    HttpResponse answer(const HttpRequest &request, bool &isWrite);
    HttpResponse answerObject(const HttpRequest &request, bool &isWrite);
    void setFaults(const HttpRequest &request, const Reply &reply);

    EventLoop &loop;
    EmbeddedStore data;
    PlatformFaults fault;
    std::vector<ListedVm> vms;
    std::mt19937_64 random;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::vector<Reply> unanswered;
    HttpServer server;
};

} // namespace Dogwoodkeel
