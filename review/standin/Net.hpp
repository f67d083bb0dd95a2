// Small blocking HTTP/1.1 helpers for the stand-ins: one thread per connection, loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace standin
{

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using std::chrono::milliseconds;

struct Address
{
    std::string ip;
    int port = 0;

    std::string text() const
    {
        return this->ip + ":" + std::to_string(this->port);
    }
};

inline sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

/** Returns a listening socket, or -1. Sets the port if it was 0. */
inline int listenAt(Address &address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in target = socketAddress(address);
    if (::bind(descriptor, reinterpret_cast<sockaddr *>(&target), sizeof(target)) != 0 || ::listen(descriptor, 512) != 0) {
        ::close(descriptor);
        return -1;
    }
    socklen_t size = sizeof(target);
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&target), &size);
    address.port = ntohs(target.sin_port);
    return descriptor;
}

inline bool isFree(const std::string &ip, int port, int type)
{
    const int descriptor = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const sockaddr_in target = socketAddress({ip, port});
    const bool bound = ::bind(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) == 0;
    ::close(descriptor);
    return bound;
}

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return std::tolower(c);
    });
    return text;
}

struct Message
{
    std::string startLine;
    std::string method;
    std::string target;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : this->headers) {
            if (lower(key) == lower(name)) {
                return value;
            }
        }
        return {};
    }

    bool has(const std::string &name) const
    {
        return std::any_of(this->headers.begin(), this->headers.end(), [&name](const auto &entry) {
            return lower(entry.first) == lower(name);
        });
    }

    std::string path() const
    {
        return this->target.substr(0, this->target.find('?'));
    }

    std::string query(const std::string &name) const
    {
        const std::size_t mark = this->target.find('?');
        std::string rest = mark == std::string::npos ? std::string() : this->target.substr(mark + 1);
        while (!rest.empty()) {
            const std::string part = rest.substr(0, rest.find('&'));
            rest = part.size() < rest.size() ? rest.substr(part.size() + 1) : std::string();
            const std::size_t equals = part.find('=');
            if (part.substr(0, equals) == name && equals != std::string::npos) {
                std::string value;
                for (std::size_t i = equals + 1; i < part.size(); ++i) {
                    if (part[i] == '%' && i + 2 < part.size()) {
                        value.push_back(static_cast<char>(std::stoi(part.substr(i + 1, 2), nullptr, 16)));
                        i += 2;
                    } else {
                        value.push_back(part[i]);
                    }
                }
                return value;
            }
        }
        return {};
    }
};

/** A connected socket with a read buffer. Reads give up at the time limit. */
class Connection
{
public:
    explicit Connection(int descriptor) : descriptor(descriptor)
    {
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }

    ~Connection()
    {
        if (this->descriptor >= 0) {
            ::close(this->descriptor);
        }
    }

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    int fd() const
    {
        return this->descriptor;
    }

    /** Bytes a second that are read at most; 0: as many as there are. */
    std::uint64_t readRate = 0;
    std::uint64_t bytesRead = 0;
    bool wasReset = false;

    bool send(const std::string &text)
    {
        std::size_t done = 0;
        while (done < text.size()) {
            const ssize_t sent = ::send(this->descriptor, text.data() + done, text.size() - done, MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            done += static_cast<std::size_t>(sent);
        }
        return true;
    }

    /** @return whether bytes were added to the buffer */
    bool fill(Time until)
    {
        if (this->readRate > 0) {
            if (this->rateStart == Time()) {
                this->rateStart = Clock::now();
            }
            const auto due = this->rateStart
                + std::chrono::microseconds(static_cast<std::int64_t>(double(this->bytesRead) * 1e6 / double(this->readRate)));
            std::this_thread::sleep_until(std::min(due, until));
        }
        const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
        pollfd waiting{this->descriptor, POLLIN, 0};
        if (left < 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0) {
            this->timedOut = true;
            return false;
        }
        char bytes[16384];
        const ssize_t size = ::recv(this->descriptor, bytes, sizeof(bytes), 0);
        if (size <= 0) {
            this->wasReset = size < 0;
            return false;
        }
        this->bytesRead += static_cast<std::uint64_t>(size);
        this->buffer.append(bytes, static_cast<std::size_t>(size));
        return true;
    }

    std::optional<std::string> line(Time until)
    {
        std::size_t end = this->buffer.find("\r\n");
        while (end == std::string::npos) {
            if (!this->fill(until)) {
                return std::nullopt;
            }
            end = this->buffer.find("\r\n");
        }
        std::string text = this->buffer.substr(0, end);
        this->buffer.erase(0, end + 2);
        return text;
    }

    bool exactly(std::size_t size, std::string &to, Time until)
    {
        while (this->buffer.size() < size) {
            if (!this->fill(until)) {
                to.append(this->buffer);
                this->buffer.clear();
                return false;
            }
        }
        to.append(this->buffer, 0, size);
        this->buffer.erase(0, size);
        return true;
    }

    bool isClosedByPeer() const
    {
        pollfd waiting{this->descriptor, POLLIN | POLLRDHUP, 0};
        return ::poll(&waiting, 1, 0) > 0 && (waiting.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }

    std::string buffer;
    bool timedOut = false;

private:
    int descriptor;
    Time rateStart;
};

/** Reads a message with its body. @return whether it is complete; what has arrived is in the message either way */
inline bool readMessage(Connection &connection, Message &message, bool isResponse, Time until)
{
    const std::optional<std::string> start = connection.line(until);
    if (!start) {
        return false;
    }
    message.startLine = *start;
    const std::size_t first = start->find(' ');
    const std::size_t second = start->find(' ', first + 1);
    if (isResponse) {
        message.status = std::atoi(start->substr(std::min(first, start->size() - 1) + 1).c_str());
    } else {
        message.method = start->substr(0, first);
        message.target = start->substr(first + 1, second - first - 1);
    }
    while (true) {
        const std::optional<std::string> header = connection.line(until);
        if (!header) {
            return false;
        }
        if (header->empty()) {
            break;
        }
        const std::size_t colon = header->find(':');
        std::size_t value = colon + 1;
        while (value < header->size() && (*header)[value] == ' ') {
            ++value;
        }
        message.headers.emplace_back(header->substr(0, colon), header->substr(std::min(value, header->size())));
    }
    if (lower(message.header("Transfer-Encoding")) == "chunked") {
        while (true) {
            const std::optional<std::string> size = connection.line(until);
            if (!size) {
                return false;
            }
            const auto bytes = static_cast<std::size_t>(std::strtoul(size->c_str(), nullptr, 16));
            if (!connection.exactly(bytes, message.body, until) || !connection.line(until)) {
                return false;
            }
            if (bytes == 0) {
                return true;
            }
        }
    }
    const std::string length = message.header("Content-Length");
    return length.empty() || connection.exactly(std::stoul(length), message.body, until);
}

/** Accepts connections and handles the requests of each in a thread of its own. */
class Server
{
public:
    /** @return whether the connection may be used again */
    using Handler = std::function<bool(const Message &, Connection &)>;

    Server(Address address, Handler handler) : address(std::move(address)), handler(std::move(handler))
    {
        this->listener = listenAt(this->address);
        if (this->listener < 0) {
            throw std::runtime_error("cannot listen at " + this->address.text());
        }
        std::thread([this] {
            this->accept();
        }).detach();
    }

    const Address &at() const
    {
        return this->address;
    }

    /** Ends as a crashed process does: the port refuses connections, and open ones are reset or closed. */
    void crash()
    {
        const std::lock_guard lock(this->mutex);
        this->hasCrashed = true;
        ::shutdown(this->listener, SHUT_RDWR);
        for (const int descriptor : this->waiting) {
            ::shutdown(descriptor, SHUT_RDWR);
        }
    }

    bool isDown() const
    {
        return this->hasCrashed;
    }

    /** From now on nothing is read or answered on the open connections, which stay open. New ones work. */
    void silenceConnections()
    {
        this->silentBefore = Clock::now();
    }

    /** Called for a request that arrives on a connection that has gone silent. */
    std::function<void(const Message &)> onLost;

private:
    void accept()
    {
        while (!this->hasCrashed) {
            const int descriptor = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) {
                continue;
            }
            std::thread([this, descriptor] {
                Connection connection(descriptor);
                const Time opened = Clock::now();
                Message request;
                while (this->next(connection, request)) {
                    if (opened < this->silentBefore.load()) {
                        this->lose(connection, request);
                        break;
                    }
                    if (!this->handler(request, connection) || this->hasCrashed) {
                        break;
                    }
                    request = {};
                }
                if (this->hasCrashed) {
                    const linger reset{1, 0};
                    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
                }
            }).detach();
        }
        ::close(this->listener);
    }

    bool next(Connection &connection, Message &request)
    {
        {
            const std::lock_guard lock(this->mutex);
            this->waiting.insert(connection.fd());
        }
        const bool isRead = readMessage(connection, request, false, Clock::now() + std::chrono::seconds(60));
        const std::lock_guard lock(this->mutex);
        this->waiting.erase(connection.fd());
        return isRead && !this->hasCrashed;
    }

    void lose(Connection &connection, const Message &request)
    {
        if (this->onLost) {
            this->onLost(request);
        }
        while (!connection.isClosedByPeer()) {
            std::this_thread::sleep_for(milliseconds(20));
        }
    }

    std::atomic<Time> silentBefore{Time()};
    std::mutex mutex;
    /** Connections on which no request is being handled. */
    std::set<int> waiting;
    std::atomic<bool> hasCrashed{false};
    Address address;
    Handler handler;
    int listener = -1;
};

inline std::string response(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

struct Reply
{
    bool connected = false;
    bool complete = false;
    bool timedOut = false;
    Message message;
    milliseconds took{0};
};

struct CallOptions
{
    milliseconds timeout{5000};
    /** Bytes a second that the client reads; 0: all. */
    std::uint64_t readRate = 0;
    int receiveBuffer = 0;
};

/** Sends one request on a new connection and reads the answer. */
inline Reply call(const Address &to,
                  const std::string &method,
                  const std::string &target,
                  const std::vector<std::pair<std::string, std::string>> &headers,
                  const std::string &body,
                  const CallOptions &options = {})
{
    Reply reply;
    const Time started = Clock::now();
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (options.receiveBuffer > 0) {
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &options.receiveBuffer, sizeof(options.receiveBuffer));
    }
    Connection connection(descriptor);
    const sockaddr_in target4 = socketAddress(to);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&target4), sizeof(target4)) != 0) {
        return reply;
    }
    reply.connected = true;
    connection.readRate = options.readRate;
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    if (method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    text += "\r\n" + body;
    reply.complete = connection.send(text) && readMessage(connection, reply.message, true, started + options.timeout);
    reply.timedOut = connection.timedOut;
    reply.took = std::chrono::duration_cast<milliseconds>(Clock::now() - started);
    return reply;
}

inline std::string encodeBase64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            const bool isFilled = i + j < bytes.size() + 1;
            text.push_back(isFilled ? digits[group >> (18U - 6U * j) & 63U] : '=');
        }
    }
    return text;
}

} // namespace standin
