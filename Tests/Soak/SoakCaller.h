#pragma once

#include <LibBase/Address.h>
#include <Tests/Fakes/RawConnection.h>
#include <Tests/Soak/SoakRecord.h>

#include <array>
#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/**
 * A caller that sends one request after the other, keeps its connection as long as the node does, and holds what it gets
 * against what the replicas generate. Blocks its thread.
 */
class SoakCaller
{
public:
    /** @param name part of all its ids */
    SoakCaller(SoakRecord &record, std::vector<Address> nodes, std::string name, unsigned seed);

    /** Send requests until told to stop. */
    void run(const std::atomic<bool> &isStopped);

    /** Send requests with a content that crashes replicas, at any node, until told to stop. */
    void runCrashing(const std::string &content, const std::atomic<bool> &isStopped);

    /** Submit jobs of many items and end most of them at any moment, each call at any node, until told to stop. */
    void runJobs(const std::atomic<bool> &isStopped);

    /** Read the results of all open jobs until they are complete, or the time is over. */
    void finishJobs(std::chrono::seconds timeout);

    /** @return the share of so many ordinary requests that are served. */
    double probe(int count);

private:
    struct Response
    {
        int status = 0;
        std::string body;
        bool isComplete = false;
    };

    /** A kind of online request. */
    struct Kind
    {
        const char *prefix;
        Repeats repeats;
        bool isStream;
    };

    static const std::array<Kind, 4> onlineKinds;

    /** What has come of a stream over its tries. */
    struct Received
    {
        /** The try that brought its first event. */
        std::string firstId;
        /** Whole events, as they came. */
        std::string events;
        /** Whether the tries complete it. */
        bool isComplete = false;
    };

    std::string nextId();
    Address anyNode();
    std::chrono::milliseconds timeBeforeEnd();
    bool callOnline(const Kind &kind);
    TryEnd tryOnline(const Kind &kind, const std::string &body, Received &received);
    void checkAnswer(const std::string &id, const std::string &body, const Response &response);
    void checkStream(const std::string &id, const std::string &body, const Received &received);
    /** @return its name, if it was accepted. */
    std::optional<std::string> submitJob(std::size_t itemCount);
    void readJob(const std::string &job);
    void endJob(const std::string &job);
    Response call(const std::string &startLine, const std::string &id, const std::string &body, const std::string &headers = {});
    Response readResponse();
    void readChunks(Response &response, std::size_t from);

    SoakRecord &record;
    std::vector<Address> nodes;
    std::string name;
    std::minstd_rand random;
    std::uint64_t lastId = 0;
    std::unique_ptr<RawConnection> connection;
};

} // namespace Dogwoodkeel
