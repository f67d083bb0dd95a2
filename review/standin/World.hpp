// Stand-ins of a small deployment: the platform's store, replicas, and nodes started with the command of the deploy file.
#pragma once

#include "Net.hpp"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <condition_variable>
#include <deque>
#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <set>
#include <sstream>

namespace standin
{

using Json = nlohmann::json;

/** Writes record.txt: one line for each thing that was sent, answered, run or done. */
class Record
{
public:
    explicit Record(const std::string &path) : file(path, std::ios::trunc), start(Clock::now())
    {
    }

    void line(const std::string &text)
    {
        const std::lock_guard lock(this->mutex);
        const auto now = std::chrono::duration_cast<milliseconds>(Clock::now() - this->start).count();
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f ", double(now) / 1000.0);
        this->file << time << text << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream file;
    Time start;
};

/** The platform's store as PROTOCOL.md describes it: rows in tables, transactions, a feed, and raw objects. */
class Store
{
public:
    Store(const std::string &ip, Record &record)
        : record(record), started(Clock::now()), server({ip, 0}, [this](const Message &request, Connection &connection) {
            return this->handle(request, connection);
        })
    {
    }

    const Address &at() const
    {
        return this->server.at();
    }

    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(this->mutex);
        ++this->version;
        this->set({table, "", key}, encodeBase64(value));
        this->changed.notify_all();
    }

    void remove(const std::string &table, const std::string &key)
    {
        const std::lock_guard lock(this->mutex);
        ++this->version;
        this->erase({table, "", key});
        this->changed.notify_all();
    }

private:
    using Key = std::tuple<std::string, std::string, std::string>;

    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        bool isDeleted = false;
    };

    static Key keyOf(const Json &entry)
    {
        return {entry.value("table", ""), entry.value("part", ""), entry.value("key", "")};
    }

    static Json encode(const Key &key, const Row &row)
    {
        Json entry{{"table", std::get<0>(key)}, {"part", std::get<1>(key)}, {"key", std::get<2>(key)}, {"ver", row.version}};
        if (row.isDeleted) {
            entry["deleted"] = true;
        } else {
            entry["value"] = row.value;
        }
        return entry;
    }

    void set(const Key &key, const std::string &value)
    {
        const Row row{value, this->version, false};
        this->rows[key] = row;
        this->history.emplace_back(key, row);
    }

    void erase(const Key &key)
    {
        if (this->rows.erase(key) > 0) {
            this->history.emplace_back(key, Row{"", this->version, true});
        }
    }

    std::uint64_t nowMs() const
    {
        return 50000 + static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(Clock::now() - this->started).count());
    }

    bool handle(const Message &request, Connection &connection)
    {
        constexpr milliseconds delay{3};
        std::this_thread::sleep_for(delay);
        const std::string path = request.path();
        if (path == "/rows-tx") {
            return this->transact(request, connection);
        }
        if (path == "/rows-get") {
            return this->read(request, connection);
        }
        if (path == "/rows-feed") {
            return this->feed(request, connection);
        }
        if (path == "/rows-parts") {
            return this->parts(request, connection);
        }
        if (path.rfind("/blob-", 0) == 0) {
            return this->object(request, connection);
        }
        return this->answer(connection, 404, Json::object());
    }

    bool answer(Connection &connection, int status, const Json &body)
    {
        return connection.send(response(status, "Content-Type: application/json\r\n", body.dump()));
    }

    bool transact(const Message &request, Connection &connection)
    {
        const Json body = Json::parse(request.body, nullptr, false);
        constexpr std::size_t maxEntries = 100;
        constexpr std::size_t maxBytes = 1'000'000;
        if (!body.is_object()) {
            return this->answer(connection, 400, Json::object());
        }
        const Json expected = body.value("expectedRev", Json::array());
        const Json puts = body.value("puts", Json::array());
        const Json removals = body.value("remove", Json::array());
        if (expected.size() + puts.size() + removals.size() > maxEntries || request.body.size() > maxBytes) {
            return this->answer(connection, 413, Json::object());
        }
        for (const Json &list : {puts, removals}) {
            for (const Json &entry : list) {
                const std::string table = entry.value("table", "");
                if (table == "op" || table == "servers") {
                    return this->answer(connection, 403, Json::object());
                }
            }
        }
        std::unique_lock lock(this->mutex);
        bool holds = true;
        Json current = Json::array();
        for (const Json &entry : expected) {
            const auto found = this->rows.find(keyOf(entry));
            holds = holds && (found == this->rows.end() ? 0 : found->second.version) == entry.value("ver", std::uint64_t(0));
            if (found != this->rows.end()) {
                current.push_back(encode(found->first, found->second));
            }
        }
        if (!holds) {
            const Json refusal{{"rows", current}, {"ver", this->version}, {"nowMs", this->nowMs()}};
            lock.unlock();
            return this->answer(connection, 412, refusal);
        }
        ++this->version;
        for (const Json &entry : puts) {
            this->set(keyOf(entry), entry.value("value", ""));
        }
        for (const Json &entry : removals) {
            this->erase(keyOf(entry));
        }
        const Json done{{"ver", this->version}, {"nowMs", this->nowMs()}};
        this->changed.notify_all();
        lock.unlock();
        return this->answer(connection, 200, done);
    }

    bool read(const Message &request, Connection &connection)
    {
        constexpr std::size_t maxRows = 500;
        constexpr std::size_t maxBytes = 1'000'000;
        const std::string table = request.query("table");
        const std::string part = request.query("part");
        const std::string to = request.query("to");
        const std::string limit = request.query("limit");
        const std::size_t most = limit.empty() ? maxRows : std::min<std::size_t>(maxRows, std::stoul(limit));
        Json list = Json::array();
        bool isTruncated = false;
        std::size_t bytes = 0;
        std::unique_lock lock(this->mutex);
        for (auto row = this->rows.lower_bound({table, part, request.query("from")}); row != this->rows.end(); ++row) {
            const auto &[rowTable, rowPart, key] = row->first;
            if (rowTable != table || rowPart != part || (!to.empty() && key >= to)) {
                break;
            }
            bytes += row->second.value.size();
            if (list.size() == most || (bytes > maxBytes && !list.empty())) {
                isTruncated = true;
                break;
            }
            list.push_back(encode(row->first, row->second));
        }
        const Json body{{"rows", list}, {"truncated", isTruncated}, {"ver", this->version}, {"nowMs", this->nowMs()}};
        lock.unlock();
        return this->answer(connection, 200, body);
    }

    bool feed(const Message &request, Connection &connection)
    {
        const std::string table = request.query("table");
        const std::uint64_t since = std::stoull(request.query("afterRev"));
        const Time until = Clock::now() + milliseconds(std::min(30000L, std::stol(request.query("waitMs"))));
        Json list = Json::array();
        std::unique_lock lock(this->mutex);
        while (true) {
            for (const auto &[key, row] : this->history) {
                if (std::get<0>(key) == table && row.version > since) {
                    list.push_back(encode(key, row));
                }
            }
            if (!list.empty() || this->changed.wait_until(lock, until) == std::cv_status::timeout) {
                break;
            }
        }
        const Json body{{"rows", list}, {"ver", this->version}, {"nowMs", this->nowMs()}};
        lock.unlock();
        return this->answer(connection, 200, body);
    }

    bool parts(const Message &request, Connection &connection)
    {
        const std::string table = request.query("table");
        const std::string after = request.query("afterRev");
        std::set<std::string> found;
        std::unique_lock lock(this->mutex);
        for (const auto &[key, row] : this->rows) {
            if (std::get<0>(key) == table && std::get<1>(key) > after && found.size() < 1000) {
                found.insert(std::get<1>(key));
            }
        }
        const Json body{{"parts", found}, {"ver", this->version}, {"nowMs", this->nowMs()}};
        lock.unlock();
        return this->answer(connection, 200, body);
    }

    bool object(const Message &request, Connection &connection)
    {
        const std::string path = request.path();
        const std::string name = path.substr(path.find('/', 1) + 1);
        const std::lock_guard lock(this->mutex);
        if (path.rfind("/blob-put/", 0) == 0) {
            const bool isNew = this->objects.emplace(name, request.body).second;
            return connection.send(response(isNew ? 200 : 412, "", "{}"));
        }
        if (path.rfind("/blob-get/", 0) == 0) {
            const auto found = this->objects.find(name);
            return connection.send(found != this->objects.end() ? response(200, "", found->second) : response(404, "", ""));
        }
        if (path.rfind("/blob-drop/", 0) == 0) {
            return connection.send(response(this->objects.erase(name) > 0 ? 200 : 404, "", "{}"));
        }
        return connection.send(response(404, "", ""));
    }

    Record &record;
    const Time started;
    std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t version = 1;
    std::map<Key, Row> rows;
    std::deque<std::pair<Key, Row>> history;
    std::map<std::string, std::string> objects;
    Server server;
};

/** A sound replica that registers itself in the store and runs requests as its script says. */
class Replica
{
public:
    /** @return whether the connection may be used again */
    using Run = std::function<bool(const Message &, Connection &, const std::string &signature)>;

    struct Options
    {
        std::string id;
        std::string service;
        std::string zone;
        int slots = 8;
        /** 0: any free port. */
        int port = 0;
    };

    Replica(const std::string &ip, Store &store, Record &record, Options options, Run run)
        : store(store)
        , record(record)
        , options(std::move(options))
        , run(std::move(run))
        , server({ip, this->options.port}, [this](const Message &request, Connection &connection) {
            return this->handle(request, connection);
        })
    {
        this->beat();
        std::thread([this] {
            constexpr milliseconds heartbeat{1200};
            constexpr int lapsedAfter = 3;
            int silent = 0;
            while (silent < lapsedAfter) {
                std::this_thread::sleep_for(heartbeat);
                silent = this->server.isDown() ? silent + 1 : 0;
                if (silent == 0) {
                    this->beat();
                }
            }
            this->store.remove("servers", this->options.id);
        }).detach();
    }

    /** Ends without a word. Its entry lapses after three heartbeats of silence. */
    void crash()
    {
        this->record.line(this->options.id + " crashes with " + std::to_string(this->running.load()) + " requests");
        this->server.crash();
    }

    /** The open connections go silent for good; new ones work. */
    void silenceConnections()
    {
        this->server.silenceConnections();
    }

    void setLostHook(std::function<void(const Message &)> onLost)
    {
        this->server.onLost = std::move(onLost);
    }

    bool isDown() const
    {
        return this->server.isDown();
    }

    const Address &at() const
    {
        return this->server.at();
    }

    int port() const
    {
        return this->server.at().port;
    }

    /** Requests that have reached this replica and were not turned away. */
    std::atomic<int> runs{0};
    std::atomic<int> running{0};

private:
    void beat()
    {
        const Json entry{{"service", this->options.service},
                         {"address", this->server.at().text()},
                         {"zone", this->options.zone},
                         {"version", "v1"},
                         {"slots", this->options.slots},
                         {"state", "ready"},
                         {"coldLeftMs", 0},
                         {"stage", "both"},
                         {"models", Json::array({{{"name", "m"}, {"version", 1}, {"adapters", Json::array()}}})},
                         {"seq", ++this->sequence}};
        this->store.put("servers", this->options.id, entry.dump());
    }

    bool handle(const Message &request, Connection &connection)
    {
        const std::string load = std::to_string(this->running.load()) + ",0," + std::to_string(this->options.slots);
        if (request.path() == "/healthz") {
            return connection.send(
                response(200, "X-Instance-Id: " + this->options.id + "\r\nX-Server-Load: " + load + "\r\n", ""));
        }
        if (request.has("X-Expect-Instance") && request.header("X-Expect-Instance") != this->options.id) {
            return connection.send(response(421, "X-Instance-Id: " + this->options.id + "\r\n", ""));
        }
        const std::string id = request.header("X-Request-Id");
        if (this->running.fetch_add(1) >= this->options.slots) {
            --this->running;
            return connection.send(
                response(503, "X-Not-Executed: 1\r\nX-Request-Id: " + id + "\r\nX-Server-Load: " + load + "\r\n", ""));
        }
        ++this->runs;
        this->record.line(this->options.id + " runs " + id + " " + request.method + " " + request.target
                          + (request.has("Last-Event-Id") ? " from event " + request.header("Last-Event-Id") : ""));
        const std::string signature = "sig." + this->options.id + "." + id;
        const bool isKept
            = this->run(request,
                        connection,
                        "X-Request-Id: " + id + "\r\nX-Server-Signature: " + signature + "\r\nX-Server-Load: " + load + "\r\n");
        --this->running;
        return isKept;
    }

    Store &store;
    Record &record;
    const Options options;
    const Run run;
    std::atomic<std::uint64_t> sequence{0};
    Server server;
};

/** Fills a settings template as DEPLOY.md describes: values, sections and separators. */
class Template
{
public:
    static std::string fill(const std::string &text, const Json &fields)
    {
        return render(text, {fields}, "", "");
    }

private:
    static const Json *find(const std::vector<Json> &scopes, const std::string &name)
    {
        if (name == ".") {
            return &scopes.back();
        }
        for (auto scope = scopes.rbegin(); scope != scopes.rend(); ++scope) {
            const Json *value = &*scope;
            std::istringstream parts(name);
            std::string part;
            while (value != nullptr && std::getline(parts, part, '.')) {
                if (value->is_object()) {
                    value = value->contains(part) ? &(*value)[part] : nullptr;
                } else if (value->is_array()) {
                    const std::size_t index = std::stoul(part);
                    value = index < value->size() ? &(*value)[index] : nullptr;
                } else {
                    value = nullptr;
                }
            }
            if (value != nullptr) {
                return value;
            }
        }
        return nullptr;
    }

    static std::string text(const Json *value)
    {
        if (value == nullptr || value->is_null()) {
            return {};
        }
        if (value->is_array()) {
            std::string joined;
            for (const Json &entry : *value) {
                joined += (joined.empty() ? "" : ",") + text(&entry);
            }
            return joined;
        }
        return value->is_string() ? value->get<std::string>() : value->dump();
    }

    static std::string
    render(const std::string &source, const std::vector<Json> &scopes, const std::string &index, const std::string &separator)
    {
        std::string result;
        std::size_t position = 0;
        while (true) {
            const std::size_t open = source.find("{{", position);
            result += source.substr(position, open == std::string::npos ? open : open - position);
            if (open == std::string::npos) {
                return result;
            }
            const std::size_t close = source.find("}}", open);
            const std::string name = source.substr(open + 2, close - open - 2);
            position = close + 2;
            if (name == ",") {
                result += separator;
            } else if (name == "@") {
                result += index;
            } else if (name[0] == '#' || name[0] == '^') {
                const std::string end = "{{/" + name.substr(1) + "}}";
                const std::size_t last = source.find(end, position);
                const std::string inner = source.substr(position, last - position);
                position = last + end.size();
                const Json *const value = find(scopes, name.substr(1));
                const bool isSet = value != nullptr && !value->is_null() && *value != Json(false);
                if (name[0] == '^') {
                    result += isSet ? "" : render(inner, scopes, "", "");
                } else if (isSet && value->is_array()) {
                    for (std::size_t entry = 0; entry < value->size(); ++entry) {
                        std::vector<Json> inside = scopes;
                        inside.push_back((*value)[entry]);
                        result += render(inner, inside, std::to_string(entry), entry + 1 < value->size() ? "," : "");
                    }
                } else if (isSet) {
                    std::vector<Json> inside = scopes;
                    inside.push_back(*value);
                    result += render(inner, inside, "", "");
                }
            } else {
                result += text(find(scopes, name));
            }
        }
    }
};

inline std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

/** A node: one process of the role of the deploy file, with a loopback address of its own. */
class Node
{
public:
    Node(const std::string &repository, const std::string &folder, Record &record, const Json &settings)
        : name(settings["nodeName"].get<std::string>()), record(record)
    {
        const auto address = [&settings](const char *which) {
            const std::string value = settings["listen"][which].get<std::string>();
            const std::size_t colon = value.find(':');
            return Address{value.substr(0, colon), std::stoi(value.substr(colon + 1))};
        };
        this->frontend = address("frontend");
        this->ready = address("ready");
        this->settingsPath = folder + "/" + this->name + ".toml";
        this->logPath = folder + "/" + this->name + ".log";
        this->repository = repository;
        std::ofstream(this->settingsPath) << Template::fill(readFile(repository + "/deploy/settings.toml.template"), settings);
        const std::string deploy = readFile(repository + "/deploy/system.toml");
        const std::size_t start = deploy.find("run = \"") + 7;
        std::istringstream words(deploy.substr(start, deploy.find('"', start) - start));
        for (std::string word; words >> word;) {
            this->command.push_back(word);
        }
        this->start();
    }

    ~Node()
    {
        this->end(SIGKILL);
        this->await(std::chrono::seconds(5));
    }

    void start()
    {
        std::vector<char *> arguments;
        for (std::string &word : this->command) {
            arguments.push_back(word.data());
        }
        arguments.push_back(nullptr);
        std::string variable = "DOGWOODKEEL_SETTINGS=" + this->settingsPath;
        std::string path = "PATH=/usr/bin:/bin";
        std::string home = "HOME=/tmp";
        std::vector<char *> environment{variable.data(), path.data(), home.data(), nullptr};
        const pid_t parent = ::getpid();
        this->pid = ::fork();
        if (this->pid == 0) {
            // The node ends with this process, however that ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = ::open(this->logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, 1);
            ::dup2(log, 2);
            if (::getppid() != parent || ::chdir(this->repository.c_str()) != 0) {
                ::_exit(126);
            }
            ::execve(arguments[0], arguments.data(), environment.data());
            ::_exit(127);
        }
        this->record.line("node " + this->name + " started");
    }

    void end(int signal)
    {
        if (this->pid > 0) {
            ::kill(this->pid, signal);
        }
    }

    /** @return whether the process ended in this time */
    bool await(milliseconds time)
    {
        const Time until = Clock::now() + time;
        while (this->pid > 0) {
            if (::waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
                this->pid = 0;
                return true;
            }
            if (Clock::now() > until) {
                return false;
            }
            std::this_thread::sleep_for(milliseconds(10));
        }
        return true;
    }

    bool awaitReady(milliseconds time) const
    {
        const Time until = Clock::now() + time;
        while (Clock::now() < until) {
            if (call(this->ready, "GET", "/readyz", {{"Host", "x"}}, "").message.status == 200) {
                return true;
            }
            std::this_thread::sleep_for(milliseconds(50));
        }
        return false;
    }

    const std::string name;
    Address frontend;
    Address ready;
    pid_t pid = 0;

private:
    Record &record;
    std::string repository;
    std::string settingsPath;
    std::string logPath;
    std::vector<std::string> command;
};

/** A temporary folder, a store and nodes with settings like those of the small site. */
class World
{
public:
    World(std::string repository, Record &record) : repository(std::move(repository)), record(record)
    {
        char path[] = "/tmp/dogwoodkeel-review-XXXXXX";
        this->folder = ::mkdtemp(path);
        std::random_device seed;
        this->random.seed(seed());
        this->network = "127." + std::to_string(this->draw(20, 250)) + "." + std::to_string(this->draw(1, 250)) + ".";
        this->store = std::make_unique<Store>(this->ip(1), record);
    }

    /** Ends the nodes and removes their files. The stand-ins stay until the process exits, as their threads still run. */
    void shutDown()
    {
        this->nodes.clear();
        if (std::getenv("KEEP") == nullptr) {
            for (const std::string &name : this->names) {
                ::unlink((this->folder + "/" + name + ".toml").c_str());
                ::unlink((this->folder + "/" + name + ".log").c_str());
            }
            ::rmdir(this->folder.c_str());
        } else {
            std::cerr << "logs in " << this->folder << "\n";
        }
    }

    std::string ip(int host) const
    {
        return this->network + std::to_string(host);
    }

    int draw(int from, int to)
    {
        return std::uniform_int_distribution<int>(from, to)(this->random);
    }

    /** Starts nodes, one in each zone in turn, with the figures of the site file's sheet. */
    bool startNodes(int count)
    {
        const std::vector<std::string> zones{"zone-a", "zone-b", "zone-c"};
        const int base = this->draw(10000, 28000);
        Json seeds = Json::array();
        for (int node = 0; node < std::min(count, 3); ++node) {
            seeds.push_back(this->ip(11 + node) + ":" + std::to_string(base + 6));
        }
        for (int node = 0; node < count; ++node) {
            const std::string ip = this->ip(11 + node);
            const auto at = [&ip, base](int offset) {
                return ip + ":" + std::to_string(base + offset);
            };
            for (const int port : {base, base + 3, base + 4, base + 6, base + 20, 9464}) {
                if (!isFree(ip, port, SOCK_STREAM)) {
                    return false;
                }
            }
            const std::string name = "node-" + std::to_string(node + 1);
            const Json settings{
                {"nodeName", name},
                {"role", "gateway"},
                {"ip", ip},
                {"zone", zones[static_cast<std::size_t>(node) % zones.size()]},
                {"listen", {{"frontend", at(4)}, {"ready", at(0)}, {"controlPlane", at(6)}, {"registry", at(3)}}},
                {"internalPorts", {base + 20, base + 35}},
                {"seeds", seeds},
                {"limits", {{"cpuShare", 0.5}, {"memoryMb", 280}, {"maxFds", 8200}}},
                {"bounds", {{"graceS", 8}, {"configApplyMs", 2000}, {"statusS", 120}, {"cancelMs", 3000}, {"quotaOverrun", 0.1}}},
                {"platform", {{"address", this->store->at().text()}, {"rowBytes", 65536}}}};
            this->names.push_back(name);
            this->nodes.push_back(std::make_unique<Node>(this->repository, this->folder, this->record, settings));
        }
        return std::all_of(this->nodes.begin(), this->nodes.end(), [](const auto &node) {
            return node->awaitReady(milliseconds(15000));
        });
    }

    void configure(const Json &configuration)
    {
        this->store->put("op", "config", configuration.dump());
        this->record.line("operator: version " + configuration["version"].dump() + " acknowledged, routes " + [&configuration] {
            std::string list;
            for (const Json &route : configuration["routes"]) {
                list += route["name"].get<std::string>() + " ";
            }
            return list;
        }());
    }

    const std::string repository;
    Record &record;
    std::string folder;
    std::unique_ptr<Store> store;
    std::vector<std::unique_ptr<Node>> nodes;

private:
    std::mt19937 random;
    std::string network;
    std::vector<std::string> names;
};

/** Plays a case: `CASE REPOSITORY RECORD TROUBLE`. @return the exit code: 1 broken, 0 held, 2 couldn't run */
inline int playCase(int count, char **arguments, const std::function<int(World &, bool)> &play)
{
    if (count < 4) {
        return 2;
    }
    ::signal(SIGPIPE, SIG_IGN);
    auto &record = *new Record(arguments[2]);
    int result = 2;
    World *world = nullptr;
    try {
        world = new World(arguments[1], record);
        result = play(*world, std::string(arguments[3]) != "0");
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
    }
    if (world != nullptr) {
        world->shutDown();
    }
    record.line("result " + std::to_string(result));
    std::cout.flush();
    return result;
}

inline Json limits()
{
    return {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}};
}

} // namespace standin
