#include <LibPlatform/EmbeddedStore.h>

#include <algorithm>

namespace Dogwoodkeel
{

std::optional<Row> EmbeddedStore::read(const std::string &key) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->rows.find(key);
    if (found == this->rows.end()) {
        return std::nullopt;
    }
    return Row{key, found->second.value, found->second.version};
}

std::vector<Row> EmbeddedStore::readRange(const std::string &from, const std::string &to, std::size_t limit) const
{
    const std::lock_guard lock(this->mutex);
    std::vector<Row> found;
    for (auto row = this->rows.lower_bound(from); row != this->rows.end() && row->first < to && found.size() < limit; ++row) {
        found.push_back({row->first, row->second.value, row->second.version});
    }
    return found;
}

bool EmbeddedStore::isMet(const RowCondition &condition) const
{
    const auto found = this->rows.find(condition.key);
    if (!condition.version) {
        return found == this->rows.end();
    }
    return found != this->rows.end() && found->second.version == *condition.version;
}

bool EmbeddedStore::transact(const Transaction &transaction)
{
    const std::lock_guard lock(this->mutex);
    const bool areAllMet = std::ranges::all_of(transaction.conditions, [this](const auto &each) {
        return this->isMet(each);
    });
    if (!areAllMet) {
        return false;
    }
    for (const RowWrite &write : transaction.writes) {
        if (write.value) {
            this->rows.insert_or_assign(write.key, VersionedValue{*write.value, ++this->lastVersion});
        } else {
            this->rows.erase(write.key);
        }
    }
    return true;
}

bool EmbeddedStore::putIfAbsent(const std::string &key, const std::string &content)
{
    const std::lock_guard lock(this->mutex);
    return this->objects.try_emplace(key, content).second;
}

std::optional<std::string> EmbeddedStore::get(const std::string &key) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->objects.find(key);
    return found != this->objects.end() ? std::optional(found->second) : std::nullopt;
}

std::vector<std::string> EmbeddedStore::list(const std::string &prefix) const
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> keys;
    for (auto object = this->objects.lower_bound(prefix); object != this->objects.end() && object->first.starts_with(prefix);
         ++object) {
        keys.push_back(object->first);
    }
    return keys;
}

void EmbeddedStore::remove(const std::string &key)
{
    const std::lock_guard lock(this->mutex);
    this->objects.erase(key);
}

} // namespace Dogwoodkeel
