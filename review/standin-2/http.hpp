// A small blocking HTTP/1.1 layer for the stand-ins of this review: one thread per connection.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
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
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <thread>

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

inline void pause(std::int64_t milliseconds)
{
    std::this_thread::sleep_for(Milliseconds(std::max<std::int64_t>(0, milliseconds)));
}

inline sockaddr_in addressOf(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

/** @return a listening socket, or -1. */
inline int listenAt(const std::string &address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in where = addressOf(address);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&where), sizeof(where)) != 0 || ::listen(fd, 256) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

/** @param receiveBytes size of the receive buffer; 0 leaves it to the system. @return a connected socket, or -1. */
inline int connectTo(const std::string &address, int timeoutMs = 1000, int receiveBytes = 0)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (receiveBytes > 0) {
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof(receiveBytes));
    }
    const sockaddr_in where = addressOf(address);
    int result = ::connect(fd, reinterpret_cast<const sockaddr *>(&where), sizeof(where));
    if (result != 0 && errno == EINPROGRESS) {
        pollfd wait{fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof(error);
        const bool isReady = ::poll(&wait, 1, timeoutMs) == 1;
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
        result = isReady && error == 0 ? 0 : -1;
    }
    if (result != 0) {
        ::close(fd);
        return -1;
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

inline bool sendAll(int fd, std::string_view data)
{
    while (!data.empty()) {
        const ssize_t sent = ::send(fd, data.data(), data.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        data.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

struct Message
{
    std::string start;
    std::map<std::string, std::string> headers;
    std::string body;
    /** Of a response: whether its body ended as its framing says. */
    bool isComplete = false;
    bool isReset = false;

    std::string header(const std::string &name) const
    {
        const auto found = this->headers.find(name);
        return found != this->headers.end() ? found->second : std::string();
    }
    std::string method() const
    {
        return this->start.substr(0, this->start.find(' '));
    }
    std::string target() const
    {
        const std::size_t first = this->start.find(' ') + 1;
        return this->start.substr(first, this->start.find(' ', first) - first);
    }
    int status() const
    {
        const std::size_t first = this->start.find(' ');
        return first == std::string::npos ? 0 : std::atoi(this->start.c_str() + first + 1);
    }
};

/** Reads messages from one connection. */
class Reader
{
public:
    explicit Reader(int fd) : fd(fd)
    {
    }

    /** @return whether a whole head arrived before the time. */
    bool readHead(Message &message, Clock::time_point until)
    {
        std::size_t end = std::string::npos;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->fill(until)) {
                return false;
            }
        }
        std::string head = this->buffer.substr(0, end);
        this->buffer.erase(0, end + 4);
        message = {};
        std::size_t line = head.find("\r\n");
        message.start = head.substr(0, line);
        while (line != std::string::npos) {
            const std::size_t next = head.find("\r\n", line + 2);
            const std::string field = head.substr(line + 2, next == std::string::npos ? next : next - line - 2);
            const std::size_t colon = field.find(':');
            std::string name = field.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
                return static_cast<char>(std::tolower(c));
            });
            const std::size_t value = colon == std::string::npos ? colon : field.find_first_not_of(' ', colon + 1);
            message.headers[name] = value == std::string::npos ? std::string() : field.substr(value);
            line = next;
        }
        return true;
    }

    /** Reads the body that the head announces. @param isResponse whether a body without a length ends with the connection */
    void readBody(Message &message, bool isResponse, Clock::time_point until)
    {
        if (message.header("transfer-encoding") == "chunked") {
            message.isComplete = this->readChunks(message.body, until);
        } else if (message.headers.count("content-length") != 0) {
            const auto size = static_cast<std::size_t>(std::stoull(message.header("content-length")));
            while (this->buffer.size() < size && this->fill(until)) { }
            message.isComplete = this->buffer.size() >= size;
            message.body = this->buffer.substr(0, size);
            this->buffer.erase(0, size);
        } else if (isResponse) {
            while (this->fill(until)) { }
            message.body = std::move(this->buffer);
            message.isComplete = this->isAtEnd;
        } else {
            message.isComplete = true;
        }
        message.isReset = this->hasReset;
    }

    bool hasEnded() const
    {
        return this->isAtEnd || this->hasReset;
    }

private:
    bool fill(Clock::time_point until)
    {
        const auto left = std::chrono::duration_cast<Milliseconds>(until - Clock::now()).count();
        pollfd wait{this->fd, POLLIN, 0};
        if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left)) != 1) {
            return false;
        }
        char bytes[65536];
        const ssize_t got = ::recv(this->fd, bytes, sizeof(bytes), 0);
        if (got <= 0) {
            this->isAtEnd = got == 0;
            this->hasReset = got < 0;
            return false;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(got));
        return true;
    }

    bool readChunks(std::string &body, Clock::time_point until)
    {
        for (;;) {
            std::size_t end = 0;
            while ((end = this->buffer.find("\r\n")) == std::string::npos) {
                if (!this->fill(until)) {
                    return false;
                }
            }
            const auto size = static_cast<std::size_t>(std::stoull(this->buffer.substr(0, end), nullptr, 16));
            while (this->buffer.size() < end + 2 + size + 2) {
                if (!this->fill(until)) {
                    body.append(this->buffer, end + 2, size);
                    return false;
                }
            }
            body.append(this->buffer, end + 2, size);
            this->buffer.erase(0, end + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }

    int fd;
    std::string buffer;
    bool isAtEnd = false;
    bool hasReset = false;
};

/** Accepts connections until the process ends, and calls the handler in a thread of each. */
inline void serve(int listener, std::function<void(int)> handler)
{
    std::thread([listener, handler = std::move(handler)] {
        for (;;) {
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (errno == EBADF || errno == EINVAL) {
                    return;
                }
                continue;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread(handler, fd).detach();
        }
    }).detach();
}

/** Sends one request on a new connection and reads the response. The start is empty if there was none. */
inline Message
request(const std::string &address, const std::string &head, const std::string &body = {}, std::int64_t timeoutMs = 5000)
{
    Message answer;
    const int fd = connectTo(address);
    if (fd < 0) {
        return answer;
    }
    const auto until = Clock::now() + Milliseconds(timeoutMs);
    sendAll(fd, head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    Reader reader(fd);
    if (reader.readHead(answer, until)) {
        reader.readBody(answer, true, until);
    }
    ::close(fd);
    return answer;
}
