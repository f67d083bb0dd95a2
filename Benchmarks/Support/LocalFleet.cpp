#include <Benchmarks/Support/LocalFleet.h>

#include <LibHttp/HttpClient.h>
#include <LibTask/EventLoop.h>

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <thread>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::uint16_t port = 7600;
constexpr std::chrono::milliseconds pollInterval{20};
constexpr std::chrono::seconds callTimeout{10};
constexpr int exitCommandNotFound = 127;
/** Number of bytes at the end of a log that are shown to explain why a process exited. */
constexpr std::size_t shownLogBytes = 4000;

} // namespace

LocalFleet::LocalFleet(std::string programs) : programs(std::move(programs))
{
    std::string pattern = (std::filesystem::temp_directory_path() / "dogwoodkeel-fleet-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary folder for the files of the fleet");
    }
    this->folder = pattern;
}

LocalFleet::~LocalFleet()
{
    for (const Process &process : this->processes) {
        if (process.pid > 0) {
            kill(process.pid, SIGKILL);
            waitpid(process.pid, nullptr, 0);
        }
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(this->folder, ignored);
    }
}

Address LocalFleet::nextAddress()
{
    const auto pid = static_cast<unsigned>(getpid());
    const unsigned host = ++LocalFleet::addresses;
    // 127.x.y.z: 14 bits of the process id and 9 bits of the counter of addresses; never in 127.0.0.x.
    const unsigned number = ((pid & 0x3FFFU) << 9U) | (host & 0x1FFU);
    const unsigned high = 1 + ((number >> 16U) & 0x7FU);
    return {"127." + std::to_string(high) + '.' + std::to_string((number >> 8U) & 0xFFU) + '.' + std::to_string(number & 0xFFU),
            port};
}

std::string LocalFleet::writeFile(const std::string &name, const std::string &text)
{
    std::string path = this->folder + '/' + name;
    std::ofstream(path) << text;
    return path;
}

std::size_t LocalFleet::start(const std::string &name, std::vector<std::string> command, const Address &address)
{
    Process process;
    process.name = name;
    process.command = std::move(command);
    process.address = address;
    process.logFile = this->folder + '/' + name + ".log";
    this->spawn(process);
    this->processes.push_back(std::move(process));
    return this->processes.size() - 1;
}

void LocalFleet::spawn(Process &process)
{
    const pid_t pid = fork();
    if (pid != 0) {
        process.pid = pid;
        process.isPaused = false;
        process.isStopping = false;
        return;
    }
    const int log = open(process.logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    std::vector<char *> arguments;
    for (std::string &argument : process.command) {
        arguments.push_back(argument.data());
    }
    arguments.push_back(nullptr);
    execv(arguments.front(), arguments.data());
    _exit(exitCommandNotFound);
}

std::size_t LocalFleet::startPlatform(const std::vector<std::string> &flags)
{
    const Address address = this->nextAddress();
    std::vector<std::string> command{this->programs + "/Tests/dogwoodkeel-fakes", "platform", "--listen=" + address.toString()};
    command.insert(command.end(), flags.begin(), flags.end());
    this->platformIndex = this->start("platform", std::move(command), address);
    this->addSettings("[platform]\naddress = \"" + address.toString() + "\"\n");
    return this->platformIndex;
}

std::size_t LocalFleet::startEndpoint(const std::string &kind,
                                      const std::string &serves,
                                      const std::string &failureDomain,
                                      const std::vector<std::string> &flags,
                                      const std::string &settings)
{
    const Address address = this->nextAddress();
    const std::string name = serves + '-' + std::to_string(this->processes.size());
    std::vector<std::string> command{this->programs + "/Tests/dogwoodkeel-fakes", kind, "--listen=" + address.toString()};
    command.insert(command.end(), flags.begin(), flags.end());
    this->addSettings("[[endpoint]]\nname = \"" + name + "\"\naddress = \"" + address.toString() + "\"\nfailure_domain = \""
                      + failureDomain + "\"\n" + (kind == "engine" ? "model" : "service") + " = \"" + serves + "\"\n" + settings
                      + '\n');
    return this->start(name, std::move(command), address);
}

void LocalFleet::addSettings(const std::string &toml)
{
    this->sharedSettings += toml;
}

std::size_t LocalFleet::startNode(const NodeOptions &options)
{
    const Address address = this->nextAddress();
    const std::string name = "node-" + std::to_string(this->nodeIndexes.size() + 1);
    const std::string any = "\"" + address.ip + ":0\"";
    const std::string own = "[node]\nvm = \"" + name + "\"\nfailure_domain = \"" + options.failureDomain
        + "\"\n[listen]\nhttp = \"" + address.toString() + "\"\nowner = " + any + "\ngossip = " + any + "\nlane = " + any + "\n";
    const std::string files = this->writeFile(name + "-base.toml", this->sharedSettings) + ','
        + this->writeFile(name + ".toml", own) + ',' + this->writeFile(name + "-overlay.toml", options.overlay);
    const std::size_t index
        = this->start(name, {this->programs + "/Programs/dogwoodkeel", "serve", "--settings=" + files}, address);
    this->nodeIndexes.push_back(index);
    return index;
}

std::vector<std::string> LocalFleet::takeEnded()
{
    std::vector<std::string> ended;
    for (Process &process : this->processes) {
        if (process.pid <= 0 || process.isStopping || waitpid(process.pid, nullptr, WNOHANG) != process.pid) {
            continue;
        }
        process.pid = 0;
        std::ifstream log(process.logFile);
        const std::string text{std::istreambuf_iterator<char>(log), std::istreambuf_iterator<char>()};
        ended.push_back(process.name
                        + " exited unexpectedly: " + text.substr(text.size() - std::min(text.size(), shownLogBytes)));
    }
    return ended;
}

bool LocalFleet::reportEnded()
{
    const std::vector<std::string> ended = this->takeEnded();
    for (const std::string &process : ended) {
        std::fprintf(stderr, "%s\n", process.c_str());
    }
    return !ended.empty();
}

bool LocalFleet::waitReady(std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    for (const std::size_t index : this->nodeIndexes) {
        for (;;) {
            const Answer ready = call(this->processes[index].address, "GET", "/readyz");
            const Answer entries = call(this->processes[index].address, "GET", "/v1/entries?count=100000");
            const auto parsed = nlohmann::json::parse(entries.body, nullptr, false);
            const bool isComplete
                = parsed.is_object() && parsed.contains("entries") && parsed["entries"].size() >= this->nodeIndexes.size();
            if (ready.status == 200 && isComplete) {
                break;
            }
            if (std::chrono::steady_clock::now() >= deadline || this->reportEnded()) {
                return false;
            }
            std::this_thread::sleep_for(pollInterval);
        }
    }
    return !this->reportEnded();
}

void LocalFleet::signal(std::size_t index, int number)
{
    Process &process = this->processes[index];
    if (process.pid <= 0) {
        return;
    }
    kill(process.pid, number);
    if (number == SIGKILL) {
        waitpid(process.pid, nullptr, 0);
        process.pid = 0;
    }
    process.isStopping = process.isStopping || number == SIGTERM || number == SIGKILL;
    process.isPaused = number == SIGSTOP || (process.isPaused && number != SIGCONT && number != SIGKILL);
}

int LocalFleet::waitEnd(std::size_t index, std::chrono::milliseconds timeout)
{
    Process &process = this->processes[index];
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < deadline) {
        int status = 0;
        if (waitpid(process.pid, &status, WNOHANG) == process.pid) {
            process.pid = 0;
            return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return -1;
}

void LocalFleet::restart(std::size_t index)
{
    this->spawn(this->processes[index]);
}

const LocalFleet::Process &LocalFleet::process(std::size_t index) const
{
    return this->processes[index];
}

std::vector<std::size_t> LocalFleet::nodes() const
{
    return this->nodeIndexes;
}

Address LocalFleet::platform() const
{
    return this->processes[this->platformIndex].address;
}

LocalFleet::Answer
LocalFleet::call(const Address &address, const std::string &method, const std::string &path, const std::string &body)
{
    EventLoop loop;
    HttpClient client(loop);
    Answer answer;
    HttpRequest request{.method = method, .path = path, .headers = {{"Content-Type", "application/json"}}, .body = body};
    client.fetch(address, request, callTimeout, [&loop, &answer](ExchangeEnd end, const HttpResponse &response) {
        answer = {end == ExchangeEnd::Complete ? response.status : 0, response.body};
        loop.stop();
    });
    loop.run();
    return answer;
}

} // namespace Dogwoodkeel
