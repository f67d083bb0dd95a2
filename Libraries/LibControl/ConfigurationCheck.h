#pragma once

#include <LibBase/Findings.h>
#include <LibSettings/SettingsLoader.h>
#include <LibWire/Generated/Messages.h>

#include <optional>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** File names by which findings name the texts of a version; `config show --directory` writes them so. */
inline constexpr const char *baseFileName = "base.toml";
std::string overlayFileName(const std::string &site);

/**
 * Make the settings of one node out of a version.
 * @param content of the version
 * @param site whose overlay counts; a site without one works by the base alone
 * @param ownFiles the VM's own files: only their local sections count
 * @param findings gets every mistake with its place
 * @return the settings, or nothing if there was a mistake
 */
std::optional<Settings> loadVersion(const ConfigurationContent &content,
                                    const std::string &site,
                                    const std::vector<SettingsSource> &ownFiles,
                                    Findings &findings);

/** Who may call a node that works by a configuration. */
enum class Access {
    /** A configuration without tenants lets everyone in, as an operator: a trial. */
    MayBeOpen,
    /** There are keys today; a version that takes all of them away is a mistake, not a trial. */
    NeedsKeys,
};

/**
 * Check a version as every site's nodes will load it.
 * @param access whether it may leave every caller in without a key
 * @param findings gets all mistakes of all sites together; one that several sites meet in the base is told once
 */
void checkConfiguration(const ConfigurationContent &content, Access access, Findings &findings);

} // namespace Dogwoodkeel
