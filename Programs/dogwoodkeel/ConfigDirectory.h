#pragma once

#include <LibWire/Generated/Messages.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Dogwoodkeel
{

/** An operator's working copy: base.toml, sites/NAME.toml, and the number of the version it was made from. */
class ConfigDirectory
{
public:
    explicit ConfigDirectory(std::string path);

    /** @return the texts, or nothing if there is no base.toml */
    std::optional<ConfigurationContent> read() const;

    /** @return the version that is edited; 0 without the file VERSION */
    std::uint64_t edited() const;

    /** Write all texts. @return whether that worked */
    bool write(std::uint64_t version, const ConfigurationContent &content) const;

    bool writeVersion(std::uint64_t version) const;

private:
    std::string path;
};

} // namespace Dogwoodkeel
