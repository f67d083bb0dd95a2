#include <LibTask/Sockets.h>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>

namespace Dogwoodkeel
{

sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &target.sin_addr);
    return target;
}

Address toAddress(const sockaddr_in &address)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    return {text.data(), ntohs(address.sin_port)};
}

Address boundAddress(int descriptor)
{
    sockaddr_in bound{};
    socklen_t length = sizeof(bound);
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&bound), &length);
    return toAddress(bound);
}

void sendWithoutDelay(int descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace Dogwoodkeel
