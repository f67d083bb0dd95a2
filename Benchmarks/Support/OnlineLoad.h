#pragma once

#include <Benchmarks/Support/Figures.h>

#include <LibHttp/HttpClient.h>
#include <LibTask/EventLoop.h>

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** The requests that interactive callers send. Arrivals are random and independent of the answers. */
struct OnlineMix
{
    std::string model;
    /** Streamed completions per second, outside bursts and in them. */
    double requestsPerSecond = 0;
    double burstRequestsPerSecond = 0;
    std::chrono::milliseconds burstEvery{2000};
    std::chrono::milliseconds burstLength{500};
    std::uint32_t tokens = 16;
    /** Size of each prompt; the first half is the same in all prompts. */
    std::size_t promptBytes = 512;
    /** The plain service that receives lookups. */
    std::string service;
    double lookupsPerSecond = 0;
};

/** Measurements as the callers observe them. */
struct OnlineFigures
{
    Durations firstToken;
    Durations betweenTokens;
    Durations total;
    Durations lookup;
    std::uint64_t tokens = 0;
    std::uint64_t failed = 0;
};

/** Sends one mix of requests to the nodes for a time, in the manner of many independent callers. */
class OnlineLoad
{
public:
    OnlineLoad(std::vector<Address> entries, OnlineMix mix, std::uint64_t seed);

    /** Sends requests for this time and waits for all answers. @return the measurements of these requests */
    OnlineFigures run(std::chrono::milliseconds time);

private:
    using Time = std::chrono::steady_clock::time_point;

    void scheduleCompletion();
    void scheduleLookup();
    void complete();
    void lookUp();
    void finishOne();
    double rateNow() const;
    const Address &entry();
    std::string prompt();

    EventLoop loop;
    HttpClient client;
    std::vector<Address> entries;
    OnlineMix mix;
    std::mt19937_64 random;
    OnlineFigures figures;
    Time begin;
    Time end;
    std::uint64_t sent = 0;
    std::size_t open = 0;
};

} // namespace Dogwoodkeel
