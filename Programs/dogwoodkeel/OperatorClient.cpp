#include "OperatorClient.h"

#include <LibHttp/HttpClient.h>
#include <LibTask/EventLoop.h>

#include <chrono>
#include <fstream>

DEFINE_string(node, "127.0.0.1:8080", "address of any node, for commands that query one");
DEFINE_string(key_file, "", "file with the operator's key; without one no key is sent");

namespace Dogwoodkeel
{

namespace
{

constexpr std::chrono::seconds timeout{15};

std::string readKeyFile()
{
    std::string key;
    std::ifstream file(FLAGS_key_file);
    std::getline(file, key);
    return key;
}

} // namespace

HttpResponse OperatorClient::call(const std::string &method, const std::string &target, const std::string &body)
{
    const auto address = Address::parse(FLAGS_node);
    if (!address) {
        return {0, {}, "--node needs an address such as 127.0.0.1:8080"};
    }
    HttpRequest request{.method = method, .path = target, .headers = {{"Content-Type", "application/json"}}, .body = body};
    if (!FLAGS_key_file.empty()) {
        request.headers["Authorization"] = "Bearer " + readKeyFile();
    }
    EventLoop loop;
    HttpClient client(loop);
    HttpResponse answer;
    client.fetch(*address, request, timeout, [&loop, &answer](ExchangeEnd end, HttpResponse response) {
        answer = std::move(response);
        if (end != ExchangeEnd::Complete) {
            answer = {0, {}, FLAGS_node + " did not answer"};
        }
        loop.stop();
    });
    loop.run();
    return answer;
}

} // namespace Dogwoodkeel
