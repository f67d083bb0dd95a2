// A small deployment on loopback addresses: the store, replicas and nodes that one case uses, and its record.
#pragma once

#include "proxy.hpp"
#include "replica.hpp"
#include "store.hpp"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>

/** Lines of what happened, with the time since the start; written to record.txt at the end. */
class Record
{
public:
    void add(const std::string &line)
    {
        const std::lock_guard lock(this->mutex);
        this->lines.emplace_back(Clock::now(), line);
    }

    void addAt(Clock::time_point time, const std::string &line)
    {
        const std::lock_guard lock(this->mutex);
        this->lines.emplace_back(time, line);
    }

    void write(const std::string &path)
    {
        const std::lock_guard lock(this->mutex);
        std::stable_sort(this->lines.begin(), this->lines.end(), [](const auto &one, const auto &other) {
            return one.first < other.first;
        });
        std::ofstream file(path);
        for (const auto &[time, line] : this->lines) {
            char stamp[32];
            std::snprintf(stamp, sizeof(stamp), "%9.3f  ", std::chrono::duration<double>(time - this->started).count());
            file << stamp << line << '\n';
        }
    }

private:
    std::mutex mutex;
    std::vector<std::pair<Clock::time_point, std::string>> lines;
    Clock::time_point started = Clock::now();
};

/** A process that the case started. */
struct Process
{
    pid_t pid = -1;

    bool isRunning()
    {
        if (this->pid > 0 && ::waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
            this->pid = -1;
        }
        return this->pid > 0;
    }

    void end(int signal = SIGKILL)
    {
        if (this->isRunning()) {
            ::kill(this->pid, signal);
            if (signal == SIGKILL) {
                ::waitpid(this->pid, nullptr, 0);
                this->pid = -1;
            }
        }
    }
};

class World
{
public:
    World(std::string self, std::string program, std::string folder)
        : self(std::move(self)), program(std::move(program)), folder(std::move(folder))
    {
        // A free range of loopback addresses, as ports are the same on all machines.
        for (int octet = 20 + ::getpid() % 200, tries = 0; tries < 230; ++tries, octet = octet % 250 + 1) {
            this->network = "127.77." + std::to_string(octet) + ".";
            if (this->store.listen(this->network + "200:8142")) {
                return;
            }
        }
        this->network.clear();
    }

    /** Ends all processes that the case started. */
    void endAll()
    {
        const std::lock_guard lock(this->mutex);
        for (auto &[name, process] : this->processes) {
            process.end(SIGCONT);
            process.end();
        }
    }

    bool isUsable() const
    {
        return !this->network.empty();
    }

    std::string ip(int number) const
    {
        return this->network + std::to_string(number);
    }

    /** Starts a node with the command of the deploy file and the settings that its template gives. */
    void startNode(int number, const std::string &zone)
    {
        const std::string name = "node-" + std::to_string(number);
        const std::string path = this->folder + "/" + name + ".toml";
        std::ofstream file(path);
        file << "[node]\nvm = \"" << name << "\"\nfailure_domain = \"" << zone << "\"\n\n[listen]\nhttp = \"" << this->ip(number)
             << ":8144\"\ngossip = \"" << this->ip(number) << ":7660\"\nowner = \"" << this->ip(number)
             << ":7660\"\n\n[platform]\naddress = \"" << this->ip(200)
             << ":8142\"\ntimeout = \"1500ms\"\nrow_bytes = 65536\n\n[peers]\nsite_key = \"" << this->ip(200)
             << ":8142 7660,7675\"\nseeds = [\"" << this->ip(1) << ":8146\",\"" << this->ip(2) << ":8146\",\"" << this->ip(3)
             << ":8146\"]\n\n[gateway]\nready = \"" << this->ip(number) << ":8140\"\ndirectory = \"" << this->ip(number)
             << ":8143\"\nmetrics = \"" << this->ip(number)
             << ":9464\"\ngrace = \"8s\"\napply_bound = \"2000ms\"\nheartbeat_interval = \"1200ms\"\njobs_kept = "
                "\"120s\"\njob_end_bound = \"3000ms\"\nprocessor_share = 0.5\nmemory_mb = 130\nquota_overrun = 0.1\n";
        file.close();
        this->start(name, {this->program, "gateway"}, this->folder + "/" + name + ".log", "DOGWOODKEEL_SETTINGS=" + path);
        this->record.add(name + " started");
    }

    /** @return whether all nodes answer 200 to the platform's check in time, and know each other. */
    bool awaitReady(int nodes)
    {
        const auto until = Clock::now() + std::chrono::seconds(12);
        for (int number = 1; number <= nodes;) {
            const Message ready = request(this->ip(number) + ":8140", "GET /readyz HTTP/1.1\r\nHost: x\r\n", {}, 500);
            const Message known
                = request(this->ip(number) + ":8143", "GET /resolve?name=h&region=r&zone=z HTTP/1.1\r\nHost: x\r\n", {}, 500);
            const Json answer = Json::parse(known.body, nullptr, false);
            const bool isComplete = answer.is_object() && answer.contains("addresses")
                && answer["addresses"].size() == static_cast<std::size_t>(nodes);
            if (ready.status() == 200 && isComplete) {
                ++number;
                continue;
            }
            if (Clock::now() > until) {
                return false;
            }
            pause(50);
        }
        return true;
    }

    /** Starts a replica, its path and its entry in the store. The entry names the address of the path. */
    bool addReplica(int number, const ReplicaOptions &options, const std::string &service, const std::string &zone)
    {
        Listed listed;
        listed.options = options;
        listed.options.listen = this->ip(100 + number) + ":9090";
        listed.address = this->ip(100 + number) + ":8080";
        listed.service = service;
        listed.zone = zone;
        listed.proxy = std::make_shared<Proxy>(listed.address, listed.options.listen);
        if (!listed.proxy->start()) {
            return false;
        }
        const std::lock_guard lock(this->mutex);
        this->replicas[number] = listed;
        this->startReplica(number, options.id);
        return true;
    }

    void killReplica(int number)
    {
        const std::lock_guard lock(this->mutex);
        this->processes["replica-" + std::to_string(number)].end();
        this->replicas[number].silentSince = Clock::now();
        this->record.add("replica " + this->replicas[number].options.id + " crashes (SIGKILL)");
    }

    /** Starts a replica again as a new incarnation with a new id. */
    void restartReplica(int number, const std::string &id)
    {
        const std::lock_guard lock(this->mutex);
        this->startReplica(number, id);
    }

    void cutReplica(int number, bool isCut)
    {
        this->replicas.at(number).proxy->cut(isCut);
        this->record.add("path to replica " + std::to_string(number) + (isCut ? " is cut" : " is back"));
    }

    void signalNode(int number, int signal)
    {
        const std::string name = "node-" + std::to_string(number);
        ::kill(this->processes[name].pid, signal);
        this->record.add("signal " + std::to_string(signal) + " to " + name);
    }

    bool isNodeRunning(int number)
    {
        return this->processes["node-" + std::to_string(number)].isRunning();
    }

    /** Writes the entries of the replicas that run, and removes those that have been silent for three intervals. */
    void beat()
    {
        const std::lock_guard lock(this->mutex);
        for (auto &[number, listed] : this->replicas) {
            if (this->processes["replica-" + std::to_string(number)].isRunning()) {
                ++listed.beats;
                this->store.put("servers",
                                listed.options.id,
                                Json({{"service", listed.service},
                                      {"address", listed.address},
                                      {"zone", listed.zone},
                                      {"version", listed.options.version},
                                      {"slots", listed.options.slots},
                                      {"state", "ready"},
                                      {"coldLeftMs", 0},
                                      {"stage", "both"},
                                      {"models", Json::array({{{"name", "m"}, {"version", 1}, {"adapters", Json::array()}}})},
                                      {"seq", listed.beats}})
                                    .dump());
                listed.listed.insert(listed.options.id);
            }
            for (auto id = listed.listed.begin(); id != listed.listed.end();) {
                const bool isFormer = *id != listed.options.id;
                const auto silent = Clock::now() - listed.silentSince;
                if (isFormer && silent > Milliseconds(3600)) {
                    this->store.remove("servers", *id);
                    id = listed.listed.erase(id);
                } else {
                    ++id;
                }
            }
        }
    }

    void startBeats()
    {
        std::thread([this] {
            for (;;) {
                this->beat();
                pause(1200);
            }
        }).detach();
    }

    /** @return the lines that the replicas wrote, as they wrote them: time, replica, what, request, number. */
    std::vector<std::vector<std::string>> runs() const
    {
        std::vector<std::vector<std::string>> found;
        for (const auto &entry : std::filesystem::directory_iterator(this->folder)) {
            if (entry.path().filename().string().starts_with("replica-")) {
                std::ifstream file(entry.path());
                for (std::string line; std::getline(file, line);) {
                    std::istringstream words(line);
                    std::vector<std::string> split;
                    for (std::string word; words >> word;) {
                        split.push_back(word);
                    }
                    if (split.size() == 5) {
                        found.push_back(split);
                    }
                }
            }
        }
        std::sort(found.begin(), found.end());
        return found;
    }

    /** Adds what the replicas ran to the record, without the single events. */
    void recordRuns()
    {
        const auto system = std::chrono::system_clock::now();
        const auto steady = Clock::now();
        std::map<std::string, std::string> last;
        for (const auto &line : this->runs()) {
            const auto time = steady - (system - std::chrono::system_clock::time_point(Milliseconds(std::stoll(line[0]))));
            if (line[2] == "event") {
                last[line[1] + " " + line[3]] = line[4];
                continue;
            }
            this->record.addAt(std::chrono::time_point_cast<Clock::duration>(time),
                               "replica " + line[1] + ": " + line[2] + " of " + line[3]
                                   + (line[2] == "run" ? " after event " : " at event ") + line[4]);
        }
        for (const auto &[run, event] : last) {
            this->record.add("last event made by " + run.substr(0, run.find(' ')) + " for " + run.substr(run.find(' ') + 1) + ": "
                             + event);
        }
    }

    Store store;
    Record record;

private:
    struct Listed
    {
        ReplicaOptions options;
        std::string address;
        std::string service;
        std::string zone;
        std::shared_ptr<Proxy> proxy;
        std::set<std::string> listed;
        Clock::time_point silentSince{};
        int beats = 0;
    };

    void startReplica(int number, const std::string &id)
    {
        Listed &listed = this->replicas[number];
        listed.options.id = id;
        const ReplicaOptions &options = listed.options;
        const std::string name = "replica-" + std::to_string(number);
        this->start(name,
                    {this->self,
                     "replica",
                     options.listen,
                     options.id,
                     std::to_string(options.slots),
                     std::to_string(options.queue),
                     std::to_string(options.events),
                     std::to_string(options.intervalMs),
                     options.isUnframed ? "1" : "0",
                     std::to_string(options.answerBytes)},
                    this->folder + "/" + name + ".log",
                    "X=1");
        this->record.add("replica " + id + " starts");
    }

    void
    start(const std::string &name, const std::vector<std::string> &command, const std::string &log, const std::string &variable)
    {
        const pid_t pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            std::vector<char *> arguments;
            for (const std::string &word : command) {
                arguments.push_back(const_cast<char *>(word.c_str()));
            }
            arguments.push_back(nullptr);
            ::putenv(const_cast<char *>(variable.c_str()));
            ::execv(arguments[0], arguments.data());
            ::_exit(127);
        }
        this->processes[name].pid = pid;
    }

    std::string self;
    std::string program;
    std::string folder;
    std::string network;
    std::mutex mutex;
    std::map<int, Listed> replicas;
    std::map<std::string, Process> processes;
};
