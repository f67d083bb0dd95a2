#pragma once

#include <LibBase/Findings.h>
#include <LibSettings/SettingsLoader.h>
#include <LibWire/Generated/Messages.h>

#include <optional>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** File names that identify the texts of a version in findings; `config show --directory` writes the same names. */
inline constexpr const char *baseFileName = "base.toml";
std::string overlayFileName(const std::string &site);

/**
 * Builds the settings of one node from a version.
 * @param content content of the version
 * @param site site whose overlay applies; a site without an overlay uses the base only
 * @param ownFiles the VM's own files; only their local sections apply
 * @param findings receives every error with its location
 * @return the settings, or nothing if there is an error
 */
std::optional<Settings> loadVersion(const ConfigurationContent &content,
                                    const std::string &site,
                                    const std::vector<SettingsSource> &ownFiles,
                                    Findings &findings);

/** Whether a configuration may leave a node open to callers without a key. */
enum class Access {
    /** A configuration without tenants is valid: it accepts every caller as an operator, for trials. */
    MayBeOpen,
    /** Keys are in use already, so a version without tenants is an error and not a trial. */
    NeedsKeys,
};

/**
 * Checks a version as the nodes of every site will load it.
 * @param access whether the version may accept callers without a key
 * @param findings receives the errors of all sites; an error in the base that affects several sites is reported once
 */
void checkConfiguration(const ConfigurationContent &content, Access access, Findings &findings);

} // namespace Dogwoodkeel
