#pragma once

#include <LibPlatform/Platform.h>
#include <LibWire/Generated/Messages.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** Parts of a configuration by their keys. */
using ConfigurationPartMap = std::map<std::string, std::string>;

/** What became of a read of versions' rows. */
struct ConfigurationRows
{
    /** Found (also when there are none) or Failed. */
    ReadOutcome outcome = ReadOutcome::Failed;
    /** Newest first. */
    std::vector<ConfigurationRow> rows;
};

/** Reads and writes the rows and parts of configuration versions on the platform. */
class ConfigurationStore
{
public:
    using RowsRead = std::function<void(ConfigurationRows)>;
    using ContentRead = std::function<void(std::optional<ConfigurationContent>)>;

    explicit ConfigurationStore(Platform &platform);

    /** @param limit how many versions, from the newest */
    void readNewest(std::size_t limit, RowsRead done);

    /** Read a version and the one before it, if they are there. */
    void readPair(std::uint64_t number, RowsRead done);

    /** Read all that a row's parts hold, if they can be read. */
    void readContent(const ConfigurationRow &row, ContentRead done);

    /** Read one part. @param done gets nothing if it could not be read, or is not what its key says */
    void readPart(const std::string &key, std::function<void(std::optional<std::string>)> done);

    /** Write a part; one that is there already counts as Done. */
    void writePart(const std::string &key, const std::string &content, std::function<void(WriteOutcome)> done);

    /** Insert a version's row, if the number is free. */
    void insert(const ConfigurationRow &row, std::function<void(WriteOutcome)> done);

private:
    void readRange(const std::string &from, const std::string &to, std::size_t limit, RowsRead done);
    void readNextPart(const ConfigurationRow &row, const std::shared_ptr<ConfigurationPartMap> &parts, ContentRead done);

    Platform &platform;
};

/**
 * Fill a row with its content: within the row if it fits, else as parts.
 * @param rowBytes largest row
 * @return the parts to write before the row; none if the content fits
 */
ConfigurationPartMap packContent(const ConfigurationContent &content, std::size_t rowBytes, ConfigurationRow &row);

/** @return the content of a row, or nothing if a part is missing or the bytes are damaged. */
std::optional<ConfigurationContent> unpackContent(const ConfigurationRow &row, const ConfigurationPartMap &parts);

} // namespace Dogwoodkeel
