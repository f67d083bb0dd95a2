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

/**
 * Check a version as every site's nodes will load it.
 * @param findings gets all mistakes of all sites together; one that several sites meet in the base is told once
 */
void checkConfiguration(const ConfigurationContent &content, Findings &findings);

} // namespace Dogwoodkeel
