#pragma once

#include <LibBase/Address.h>
#include <LibHttp/HttpClient.h>
#include <LibPlatform/Platform.h>

#include <chrono>

namespace Dogwoodkeel
{

/**
 * HTTP client of the platform's service. docs/operators/platform.md describes the protocol. Another platform needs another
 * implementation of Platform.
 */
class HttpPlatform final : public Platform, private TableService, private ObjectStore, private VmList
{
public:
    /**
     * @param loop of the owning task
     * @param address of the service
     * @param timeout after which a call's outcome is unknown
     */
    HttpPlatform(EventLoop &loop, Address address, std::chrono::milliseconds timeout);

    TableService &tables() override;
    ObjectStore &objects() override;
    VmList &vms() override;

private:
    using Answered = std::function<void(ExchangeEnd, HttpResponse)>;

    void read(const std::string &key, RowRead done) override;
    void readRange(const std::string &from, const std::string &to, std::size_t limit, RowsRead done) override;
    void transact(const Transaction &transaction, TableService::Written done) override;
    void putIfAbsent(const std::string &key, const std::string &content, ObjectStore::Written done) override;
    void get(const std::string &key, ObjectRead done) override;
    void list(const std::string &prefix, KeysRead done) override;
    void remove(const std::string &key, ObjectStore::Written done) override;
    void fetch(Fetched done) override;

    void call(const HttpRequest &request, Answered answered);

    HttpClient client;
    Address address;
    std::chrono::milliseconds timeout;
};

} // namespace Dogwoodkeel
