// A model replica, as PROTOCOL.md describes it, in a process of its own: it runs as many requests at a time as it has slots,
// queues a few more, and drops a request when its connection closes. It writes each run to its standard output.
#pragma once

#include "http.hpp"

#include <condition_variable>
#include <cstdio>
#include <mutex>

struct ReplicaOptions
{
    std::string listen;
    std::string id;
    /** Version of its software, as its entry states it. */
    std::string version = "v1";
    int slots = 8;
    int queue = 24;
    /** Events of a stream, and the pause before each. */
    int events = 40;
    int intervalMs = 50;
    /** Whether streams have no length and end with their connection. */
    bool isUnframed = false;
    /** Size of a whole answer that is given instead of a stream; 0: a stream. */
    int answerBytes = 0;
};

class Replica
{
public:
    explicit Replica(ReplicaOptions options) : options(std::move(options))
    {
    }

    int run()
    {
        const int listener = listenAt(this->options.listen);
        if (listener < 0) {
            return 2;
        }
        serve(listener, [this](int fd) {
            this->serveConnection(fd);
        });
        for (;;) {
            pause(1000);
        }
    }

    /** @return the data of an event, which depends only on the request's body, so that any replica can resume it. */
    static std::string dataOf(const std::string &body, int event)
    {
        return body + "-" + std::to_string(event);
    }

private:
    static bool isClosed(int fd)
    {
        char byte = 0;
        const ssize_t got = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    void report(const char *what, const Message &message, int number)
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        std::printf("%lld %s %s %s %d\n",
                    static_cast<long long>(std::chrono::duration_cast<Milliseconds>(now).count()),
                    this->options.id.c_str(),
                    what,
                    message.header("x-request-id").c_str(),
                    number);
        std::fflush(stdout);
    }

    std::string load()
    {
        return std::to_string(this->running) + "," + std::to_string(this->waiting) + "," + std::to_string(this->options.slots);
    }

    void serveConnection(int fd)
    {
        Reader reader(fd);
        Message message;
        while (reader.readHead(message, Clock::now() + std::chrono::seconds(20))) {
            reader.readBody(message, false, Clock::now() + std::chrono::seconds(10));
            if (!this->handle(fd, message)) {
                break;
            }
        }
        ::close(fd);
    }

    /** @return whether the connection stays open. */
    bool handle(int fd, const Message &message)
    {
        const std::string target = message.target();
        if (target == "/healthz") {
            return sendAll(fd,
                           "HTTP/1.1 200 OK\r\nX-Instance-Id: " + this->options.id + "\r\nX-Server-Load: " + this->load()
                               + "\r\nContent-Length: 0\r\n\r\n");
        }
        const std::string expected = message.header("x-expect-instance");
        if (!expected.empty() && expected != this->options.id) {
            return sendAll(fd,
                           "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + this->options.id
                               + "\r\nX-Request-Id: " + message.header("x-request-id") + "\r\nContent-Length: 0\r\n\r\n");
        }
        if (!this->admit(fd)) {
            return sendAll(fd,
                           "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Request-Id: "
                               + message.header("x-request-id") + "\r\nX-Server-Load: " + this->load()
                               + "\r\nContent-Length: 0\r\n\r\n");
        }
        const bool isKept = this->options.answerBytes > 0 ? this->answerWhole(fd, message) : this->stream(fd, message);
        {
            const std::lock_guard lock(this->mutex);
            --this->running;
        }
        this->freed.notify_one();
        return isKept;
    }

    /** Waits for a slot. @return false if the queue is full or the caller has left. */
    bool admit(int fd)
    {
        std::unique_lock lock(this->mutex);
        if (this->running >= this->options.slots && this->waiting >= this->options.queue) {
            return false;
        }
        ++this->waiting;
        while (this->running >= this->options.slots) {
            this->freed.wait_for(lock, Milliseconds(10));
            if (isClosed(fd)) {
                --this->waiting;
                return false;
            }
        }
        --this->waiting;
        ++this->running;
        return true;
    }

    bool answerWhole(int fd, const Message &message)
    {
        this->report("run", message, 0);
        const std::string body(static_cast<std::size_t>(this->options.answerBytes), 'x');
        const bool isSent = sendAll(fd,
                                    "HTTP/1.1 200 OK\r\nX-Server-Signature: sig." + this->options.id + "\r\nX-Request-Id: "
                                        + message.header("x-request-id") + "\r\nX-Server-Load: " + this->load()
                                        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        this->report(isSent ? "end" : "dropped", message, 0);
        return isSent;
    }

    bool stream(int fd, const Message &message)
    {
        const int after = std::atoi(message.header("last-event-id").c_str());
        this->report("run", message, after);
        std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Server-Signature: sig." + this->options.id
            + "\r\nX-Request-Id: " + message.header("x-request-id") + "\r\nX-Server-Load: " + this->load() + "\r\n";
        head.append(this->options.isUnframed ? "Connection: close\r\n\r\n" : "Transfer-Encoding: chunked\r\n\r\n");
        if (!sendAll(fd, head)) {
            return false;
        }
        for (int event = after + 1; event <= this->options.events; ++event) {
            for (int waited = 0; waited < this->options.intervalMs; waited += 10) {
                pause(std::min(10, this->options.intervalMs - waited));
                if (isClosed(fd)) {
                    this->report("dropped", message, event - 1);
                    return false;
                }
            }
            const std::string text = "id: " + std::to_string(event) + "\ndata: " + dataOf(message.body, event) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
            if (!sendAll(fd, this->options.isUnframed ? text : size + text + "\r\n")) {
                this->report("dropped", message, event - 1);
                return false;
            }
            this->report("event", message, event);
        }
        this->report("end", message, this->options.events);
        return !this->options.isUnframed && sendAll(fd, "0\r\n\r\n");
    }

    ReplicaOptions options;
    std::mutex mutex;
    std::condition_variable freed;
    std::atomic<int> running{0};
    std::atomic<int> waiting{0};
};
