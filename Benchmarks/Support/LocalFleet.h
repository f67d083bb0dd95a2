#pragma once

#include <LibBase/Address.h>

#include <sys/types.h>

#include <chrono>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Runs real processes on loopback for measurements and history checks: the stand-ins and the nodes. Each fleet uses loopback
 * addresses of its own, derived from the driver's process id, so that fleets do not interfere with each other. The destructor
 * kills all processes.
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
        /** Whether it was sent SIGTERM or SIGKILL. */
        bool isStopping = false;
    };

    /** Options of a node. */
    struct NodeOptions
    {
        std::string failureDomain;
        /** Settings of this node only, as TOML. */
        std::string overlay;
    };

    /** @param programs folder with the build's programs: build/ */
    explicit LocalFleet(std::string programs);
    ~LocalFleet();
    LocalFleet(const LocalFleet &) = delete;
    LocalFleet &operator=(const LocalFleet &) = delete;

    /** Starts the stand-in for the platform. @return its index */
    std::size_t startPlatform(const std::vector<std::string> &flags = {});

    /**
     * Starts a stand-in endpoint. To be called before the nodes start, because they read the endpoints from their settings.
     * @param kind engine or service
     * @param serves the model or plain service
     * @param settings further lines of its [[endpoint]] table
     */
    std::size_t startEndpoint(const std::string &kind,
                              const std::string &serves,
                              const std::string &failureDomain,
                              const std::vector<std::string> &flags = {},
                              const std::string &settings = {});

    /** Adds settings that all nodes share, as TOML. */
    void addSettings(const std::string &toml);

    /** Starts a node. @return its index */
    std::size_t startNode(const NodeOptions &options);

    /**
     * Waits until each running node lists all nodes in /v1/entries.
     * @return whether that happened in time; false at once, with its log on standard error, if a process exited unexpectedly
     */
    bool waitReady(std::chrono::milliseconds timeout);

    /** @return a loopback address that no other process of this machine's fleets uses. */
    Address nextAddress();

    /** Starts any process. @return its index */
    std::size_t start(const std::string &name, std::vector<std::string> command, const Address &address);

    /** Writes a file that is removed with the fleet. @return its path */
    std::string writeFile(const std::string &name, const std::string &text);

    /** @return the processes that exited unexpectedly since the last call, each with the end of its log. */
    std::vector<std::string> takeEnded();

    /** Sends a signal: SIGKILL, SIGTERM, SIGSTOP, SIGCONT. */
    void signal(std::size_t index, int number);

    /** Waits for a process to exit. @return its exit status, or -1 if it did not exit normally or in time */
    int waitEnd(std::size_t index, std::chrono::milliseconds timeout);

    /** Starts an exited process again with the same command. */
    void restart(std::size_t index);

    const Process &process(std::size_t index) const;
    std::vector<std::size_t> nodes() const;
    Address platform() const;

    /** The answer to an HTTP call, for which call() waits; status 0 if none arrived. */
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
    /** Counts over all fleets of this driver: the ports of a fleet that has ended may not be free yet. */
    static inline std::uint16_t addresses = 0;
};

} // namespace Dogwoodkeel
