#pragma once

#include <LibPlatform/EmbeddedStore.h>
#include <LibPlatform/Platform.h>

#include <LibBase/Scheduler.h>

#include <memory>

namespace Dogwoodkeel
{

/** In-process platform, for trials on one VM and for tests. */
class EmbeddedPlatform final : public Platform, private TableService, private ObjectStore, private VmList
{
public:
    /**
     * @param store the data, shared with the other tasks of the process
     * @param scheduler of the owning task; runs the completion callbacks
     */
    EmbeddedPlatform(std::shared_ptr<EmbeddedStore> store, Scheduler &scheduler);

    TableService &tables() override;
    ObjectStore &objects() override;
    VmList &vms() override;

private:
    void read(const std::string &key, RowRead done) override;
    void readRange(const std::string &from, const std::string &to, std::size_t limit, RowsRead done) override;
    void transact(const Transaction &transaction, TableService::Written done) override;
    void putIfAbsent(const std::string &key, const std::string &content, ObjectStore::Written done) override;
    void get(const std::string &key, ObjectRead done) override;
    void list(const std::string &prefix, KeysRead done) override;
    void remove(const std::string &key, ObjectStore::Written done) override;
    void fetch(Fetched done) override;

    std::shared_ptr<EmbeddedStore> store;
    Scheduler &scheduler;
};

} // namespace Dogwoodkeel
