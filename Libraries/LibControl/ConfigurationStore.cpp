#include <LibControl/ConfigurationStore.h>

#include <LibControl/ConfigurationKeys.h>
#include <LibControl/ConfigurationParts.h>
#include <LibWire/Codec.h>

#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Bytes reserved in a row for its other fields: nonce, author, reason. */
constexpr std::size_t rowReserve = 1024;

} // namespace

ConfigurationStore::ConfigurationStore(Platform &platform) : platform(platform)
{
}

void ConfigurationStore::readRange(const std::string &from, const std::string &to, std::size_t limit, RowsRead done)
{
    this->platform.tables().readRange(from, to, limit, [done = std::move(done)](const RowsResult &result) {
        ConfigurationRows versions;
        versions.outcome = result.outcome;
        for (const Row &row : result.rows) {
            auto version = decode<ConfigurationRow>(row.value);
            // A row that cannot be decoded must not make an older one appear to be the newest.
            if (!version) {
                done({ReadOutcome::Failed, {}});
                return;
            }
            versions.rows.push_back(*std::move(version));
        }
        done(std::move(versions));
    });
}

void ConfigurationStore::readNewest(std::size_t limit, RowsRead done)
{
    this->readRange("config/", ConfigurationKeys::versionsEnd(), limit, std::move(done));
}

void ConfigurationStore::readPair(std::uint64_t number, RowsRead done)
{
    constexpr std::size_t pair = 2;
    const std::string end = number < pair ? ConfigurationKeys::versionsEnd() : ConfigurationKeys::version(number - pair);
    this->readRange(ConfigurationKeys::version(number), end, pair, std::move(done));
}

void ConfigurationStore::readPart(const std::string &key, std::function<void(std::optional<std::string>)> done)
{
    this->platform.objects().get(key, [key, done = std::move(done)](ObjectResult result) {
        const bool isIntact = result.outcome == ReadOutcome::Found && ConfigurationKeys::part(result.content) == key;
        done(isIntact ? std::optional(std::move(result.content)) : std::nullopt);
    });
}

void ConfigurationStore::readContent(const ConfigurationRow &row, ContentRead done)
{
    this->readNextPart(row, std::make_shared<ConfigurationPartMap>(), std::move(done));
}

void ConfigurationStore::readNextPart(const ConfigurationRow &row,
                                      const std::shared_ptr<ConfigurationPartMap> &parts,
                                      ContentRead done)
{
    for (const std::string &key : row.parts) {
        if (parts->contains(key)) {
            continue;
        }
        this->readPart(key, [this, row, parts, key, done = std::move(done)](std::optional<std::string> content) {
            if (!content) {
                done(std::nullopt);
                return;
            }
            (*parts)[key] = *std::move(content);
            this->readNextPart(row, parts, done);
        });
        return;
    }
    done(unpackContent(row, *parts));
}

void ConfigurationStore::writePart(const std::string &key, const std::string &content, std::function<void(WriteOutcome)> done)
{
    this->platform.objects().putIfAbsent(key, content, [done = std::move(done)](WriteOutcome outcome) {
        // Refused: the part exists, and its key guarantees the same content.
        done(outcome == WriteOutcome::Refused ? WriteOutcome::Done : outcome);
    });
}

void ConfigurationStore::insert(const ConfigurationRow &row, std::function<void(WriteOutcome)> done)
{
    this->platform.tables().insertIfAbsent(ConfigurationKeys::version(row.number), encode(row), std::move(done));
}

ConfigurationPartMap packContent(const ConfigurationContent &content, std::size_t rowBytes, ConfigurationRow &row)
{
    std::string encoded = encode(content);
    row.content.clear();
    row.parts.clear();
    if (encoded.size() + rowReserve <= rowBytes) {
        row.content = std::move(encoded);
        return {};
    }
    ConfigurationPartMap parts;
    for (std::string &chunk : splitIntoParts(encoded)) {
        const std::string key = ConfigurationKeys::part(chunk);
        row.parts.push_back(key);
        parts[key] = std::move(chunk);
    }
    return parts;
}

std::optional<ConfigurationContent> unpackContent(const ConfigurationRow &row, const ConfigurationPartMap &parts)
{
    std::string encoded = row.content;
    for (const std::string &key : row.parts) {
        const auto found = parts.find(key);
        if (found == parts.end()) {
            return std::nullopt;
        }
        encoded += found->second;
    }
    return decode<ConfigurationContent>(encoded);
}

} // namespace Dogwoodkeel
