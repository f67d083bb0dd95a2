#pragma once

#include <LibWire/Generated/Messages.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Dogwoodkeel
{

/**
 * Reads and writes an operator's working copy of the configuration: base.toml, sites/NAME.toml, and a VERSION file with the
 * number of the version that the copy was made from.
 */
class ConfigDirectory
{
public:
    explicit ConfigDirectory(std::string path);

    /** @return the contents of all files, or nothing if base.toml cannot be read */
    std::optional<ConfigurationContent> read() const;

    /** @return the version that the working copy was made from; 0 without a VERSION file */
    std::uint64_t edited() const;

    /** Writes all files of the working copy. @return whether all of them were written */
    bool write(std::uint64_t version, const ConfigurationContent &content) const;

    /** Writes the VERSION file only. @return whether it was written */
    bool writeVersion(std::uint64_t version) const;

private:
    std::string path;
};

} // namespace Dogwoodkeel
