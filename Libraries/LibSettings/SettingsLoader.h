#pragma once

#include <LibBase/Findings.h>
#include <LibSettings/Generated/Settings.h>

#include <optional>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** Which sections of a settings file are read. */
enum class SettingsScope {
    All,
    /** For the file of a VM that is used with a configuration version: only the local sections; all others are skipped. */
    LocalSections,
    /** For a configuration version: a local section, which belongs in the file of a VM, is an error. */
    SharedSections,
};

/** The text of one settings file. */
struct SettingsSource
{
    /** The name of the source in findings. */
    std::string name;
    std::string text;
    SettingsScope scope = SettingsScope::All;
};

/**
 * Merges and checks settings.
 * @param sources base first; a later one states only what differs
 * @param findings receives every error with its position
 * @return the settings, or nothing if there was an error
 */
std::optional<Settings> loadSettings(const std::vector<SettingsSource> &sources, Findings &findings);

/**
 * Reads settings files from disk.
 * @param paths base first
 * @param sources receives their texts
 * @param findings receives each file that cannot be read
 */
void readSettingsFiles(const std::vector<std::string> &paths, std::vector<SettingsSource> &sources, Findings &findings);

} // namespace Dogwoodkeel
