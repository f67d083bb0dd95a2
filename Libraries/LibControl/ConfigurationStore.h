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

/** Parts of a configuration by key. */
using ConfigurationPartMap = std::map<std::string, std::string>;

/** Result of reading the rows of versions. */
struct ConfigurationRows
{
    /** Found (also if there are no rows) or Failed. */
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

    /** Reads the newest versions. @param limit max number of versions */
    void readNewest(std::size_t limit, RowsRead done);

    /** Reads a version and the preceding one, if they exist. */
    void readPair(std::uint64_t number, RowsRead done);

    /** Reads the content of a version, including its parts. @param done receives nothing if the content could not be read */
    void readContent(const ConfigurationRow &row, ContentRead done);

    /** Reads one part. @param done receives nothing if the part could not be read or does not match the hash in its key */
    void readPart(const std::string &key, std::function<void(std::optional<std::string>)> done);

    /** Writes a part; a part that exists already counts as Done. */
    void writePart(const std::string &key, const std::string &content, std::function<void(WriteOutcome)> done);

    /** Inserts a version's row if no row with this number exists. */
    void insert(const ConfigurationRow &row, std::function<void(WriteOutcome)> done);

private:
    void readRange(const std::string &from, const std::string &to, std::size_t limit, RowsRead done);
    void readNextPart(const ConfigurationRow &row, const std::shared_ptr<ConfigurationPartMap> &parts, ContentRead done);

    Platform &platform;
};

/**
 * Stores content in a row: inline if it fits, otherwise as keys of parts.
 * @param rowBytes max size of a row
 * @return the parts to write before the row; empty if the content is inline
 */
ConfigurationPartMap packContent(const ConfigurationContent &content, std::size_t rowBytes, ConfigurationRow &row);

/** @return the content of a row, or nothing if a part is missing or the bytes are damaged. */
std::optional<ConfigurationContent> unpackContent(const ConfigurationRow &row, const ConfigurationPartMap &parts);

} // namespace Dogwoodkeel
