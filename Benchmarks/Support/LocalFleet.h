#pragma once

#include <LibBase/Address.h>

#include <sys/types.h>

#include <chrono>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Real processes on loopback for measurements and history checks: the stand-ins and the nodes. Each fleet uses loopback
 * addresses of its own, made from the driver's process id, so that fleets never meet. All processes are ended with it.
 */
class LocalFleet
{
public:
    /** A started process. */
    struct Process
    {
        std::string name;
        std::vector<std::string> command;
        std::string logFile;
        pid_t pid = 0;
        Address address;
        bool isPaused = false;
        /** Whether it was told to end. */
        bool isStopping = false;
    };

    /** A node's place. */
    struct NodePlace
    {
        std::string failureDomain;
        /** Settings of this node alone, as TOML. */
        std::string overlay;
    };

    /** @param programs folder with the build's programs: build/ */
    explicit LocalFleet(std::string programs);
    ~LocalFleet();
    LocalFleet(const LocalFleet &) = delete;
    LocalFleet &operator=(const LocalFleet &) = delete;

    /** Start the stand-in for the platform. @return its index */
    std::size_t startPlatform(const std::vector<std::string> &flags = {});

    /**
     * Start a stand-in endpoint. Do so before the nodes, which learn of it by their settings.
     * @param kind engine or service
     * @param serves the model or plain service
     * @param settings further lines of its [[endpoint]] table
     */
    std::size_t startEndpoint(const std::string &kind,
                              const std::string &serves,
                              const std::string &failureDomain,
                              const std::vector<std::string> &flags = {},
                              const std::string &settings = {});

    /** Add settings that all nodes share, as TOML. */
    void addSettings(const std::string &toml);

    /** Start a node. @return its index */
    std::size_t startNode(const NodePlace &place);

    /**
     * Wait until each running node names all of them in /v1/entries.
     * @return whether they did in time; false at once, with its log on standard error, if a process ended by itself
     */
    bool waitReady(std::chrono::milliseconds timeout);

    /** @return a loopback address that no other process of this machine's fleets uses. */
    Address nextAddress();

    /** Start any process. @return its index */
    std::size_t start(const std::string &name, std::vector<std::string> command, const Address &address);

    /** @return the path of a new file that goes with the fleet. */
    std::string writeFile(const std::string &name, const std::string &text);

    /** @return the processes that ended though nobody told them to, with the last lines of their logs; each is told once. */
    std::vector<std::string> takeEnded();

    /** Send a signal: SIGKILL, SIGTERM, SIGSTOP, SIGCONT. */
    void signal(std::size_t index, int number);

    /** Wait for a process that was told to stop. @return its exit status, or -1 if it did not end in time */
    int waitEnd(std::size_t index, std::chrono::milliseconds timeout);

    /** Start an ended process again, as it was. */
    void restart(std::size_t index);

    const Process &process(std::size_t index) const;
    std::vector<std::size_t> nodes() const;
    Address platform() const;

    /** One HTTP call, waiting for its answer. @return status 0 if there was none */
    struct Answer
    {
        int status = 0;
        std::string body;
    };
    static Answer call(const Address &address, const std::string &method, const std::string &path, const std::string &body = {});

private:
    void spawn(Process &process);
    bool reportEnded();

    std::string programs;
    std::string folder;
    std::string sharedSettings;
    std::vector<Process> processes;
    std::vector<std::size_t> nodeIndexes;
    std::size_t platformIndex = 0;
    /** Over all fleets of this driver: the ports of one that has ended may not be free yet. */
    static inline std::uint16_t addresses = 0;
};

} // namespace Dogwoodkeel
