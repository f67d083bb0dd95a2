#pragma once

#include <LibBase/Findings.h>
#include <LibSettings/Generated/Settings.h>

#include <optional>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** Which sections of a settings file count. */
enum class SettingsScope {
    All,
    /** Of a VM's own file beside a configuration version: what it says of the node itself; the rest is passed over. */
    LocalSections,
    /** Of a configuration version: a section that belongs into a VM's own file is a mistake. */
    SharedSections,
};

/** The text of one settings file. */
struct SettingsSource
{
    /** How findings name it. */
    std::string name;
    std::string text;
    SettingsScope scope = SettingsScope::All;
};

/**
 * Merge and check settings.
 * @param sources base first; a later one states what differs
 * @param findings gets every mistake with its place
 * @return the settings, or nothing if there was a mistake
 */
std::optional<Settings> loadSettings(const std::vector<SettingsSource> &sources, Findings &findings);

/**
 * Read settings files from disk.
 * @param paths base first
 * @param sources gets their texts
 * @param findings gets each file that cannot be read
 */
void readSettingsFiles(const std::vector<std::string> &paths, std::vector<SettingsSource> &sources, Findings &findings);

} // namespace Dogwoodkeel
