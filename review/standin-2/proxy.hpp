// A proxy before one replica. It can cut the path: both ends stay connected and nothing passes, in either direction, until the
// path is back; what was sent meanwhile, and the end of a connection, arrive then.
#pragma once

#include "http.hpp"

#include <memory>
#include <mutex>
#include <set>

class Proxy
{
public:
    Proxy(std::string listenAddress, std::string targetAddress)
        : target(std::move(targetAddress)), address(std::move(listenAddress))
    {
    }

    bool start()
    {
        this->listener = listenAt(this->address);
        if (this->listener < 0) {
            return false;
        }
        serve(this->listener, [this](int fd) {
            this->waitForPath();
            // Nobody listens at the target: the caller's connection ends as if it had been refused.
            const int server = connectTo(this->target);
            if (server < 0) {
                const linger reset{1, 0};
                ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
                ::close(fd);
                return;
            }
            const auto pair = std::make_shared<Pair>(fd, server);
            std::thread([this, pair] {
                this->forward(pair->client, pair->server);
            }).detach();
            this->forward(server, fd);
        });
        return true;
    }

    void cut(bool isCutNow)
    {
        this->isCut = isCutNow;
    }

private:
    struct Pair
    {
        Pair(int client, int server) : client(client), server(server)
        {
        }
        int client;
        int server;
    };

    void waitForPath() const
    {
        while (this->isCut) {
            pause(2);
        }
    }

    void forward(int from, int to) const
    {
        char bytes[65536];
        for (;;) {
            const ssize_t got = ::recv(from, bytes, sizeof(bytes), 0);
            this->waitForPath();
            if (got == 0) {
                ::shutdown(to, SHUT_WR);
                return;
            }
            if (got < 0) {
                const linger reset{1, 0};
                ::setsockopt(to, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
                ::shutdown(to, SHUT_RDWR);
                return;
            }
            if (!sendAll(to, {bytes, static_cast<std::size_t>(got)})) {
                ::shutdown(from, SHUT_RDWR);
                return;
            }
        }
    }

    std::string target;
    std::string address;
    int listener = -1;
    std::atomic<bool> isCut{false};
};
