#include "EntryBench.h"

#include <Tests/Fakes/RawConnection.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

namespace
{

/** A platform that keeps the callbacks of writes of objects, so that a test decides when they end. */
class HeldObjects final : public Platform, private ObjectStore
{
public:
    HeldObjects(EventLoop &loop, std::vector<Written> &held) : inner(std::make_shared<EmbeddedStore>(), loop), held(held)
    {
    }

    TableService &tables() override
    {
        return this->inner.tables();
    }

    ObjectStore &objects() override
    {
        return *this;
    }

    VmList &vms() override
    {
        return this->inner.vms();
    }

private:
    void putIfAbsent(const std::string &, const std::string &, Written done) override
    {
        this->held.push_back(std::move(done));
    }

    void get(const std::string &key, ObjectRead done) override
    {
        this->inner.objects().get(key, std::move(done));
    }

    void list(const std::string &prefix, KeysRead done) override
    {
        this->inner.objects().list(prefix, std::move(done));
    }

    void remove(const std::string &key, Written done) override
    {
        this->inner.objects().remove(key, std::move(done));
    }

    EmbeddedPlatform inner;
    std::vector<Written> &held;
};

/** An entry whose caller has uploaded one item of a file; its write has not ended. */
struct Upload
{
    Upload()
    {
        this->bench.settings.batch.itemsPerObject = 1;
        this->bench.makePlatform = [this](EventLoop &loop) {
            return std::make_unique<HeldObjects>(loop, this->writes);
        };
        this->bench.start();
        this->caller.emplace(this->bench.entry->address());
        this->caller->send(
            "POST /v1/files HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n{\"model\":\"m\",\"prompt\":\"p\"}\n");
        this->bench.until([this] {
            return !this->writes.empty();
        });
    }

    /** Lets the server read what has arrived: the answers to two requests that were sent later have come. */
    void settle()
    {
        for (int i = 0; i < 2; ++i) {
            this->bench.untilEnd(this->bench.send({.method = "GET", .path = "/healthz"}));
        }
    }

    /** Ends the write as failed, after so long that the upload is given up. */
    void failWrite()
    {
        this->bench.clock.shift(std::chrono::minutes(1));
        this->writes.front()(WriteOutcome::NotApplied);
    }

    bool isCounted(const std::string &reason) const
    {
        return this->bench.metrics.text().find("dogwoodkeel_answers_total{kind=\"job\",result=\"" + reason + "\"}")
            != std::string::npos;
    }

    EntryBench bench{1};
    std::vector<ObjectStore::Written> writes;
    std::optional<RawConnection> caller;
};

} // namespace

// Guards against a refusal that is counted for a caller who disconnected: it looks like a platform that takes no writes.
TEST_CASE("an upload whose caller disconnected counts no refusal when its last write fails")
{
    Upload upload;
    upload.caller.reset();
    upload.settle();
    upload.failWrite();
    CHECK_FALSE(upload.isCounted("not_stored"));
}

// Guards against a second refusal, counted but never sent, of an upload that was refused while a write was pending.
TEST_CASE("an upload with an invalid item counts no other refusal when its last write fails")
{
    Upload upload;
    std::string rest = "no item\n";
    rest.resize(1000 - std::string("{\"model\":\"m\",\"prompt\":\"p\"}\n").size(), ' ');
    upload.caller->send(rest);
    upload.settle();
    CHECK(upload.isCounted("bad_items"));
    upload.failWrite();
    CHECK_FALSE(upload.isCounted("not_stored"));
}

// Guards the other tests here: a write that fails for so long is refused and counted while the caller waits.
TEST_CASE("an upload whose write fails for long is refused as not stored")
{
    Upload upload;
    upload.failWrite();
    CHECK(upload.isCounted("not_stored"));
}
