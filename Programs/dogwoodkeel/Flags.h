#pragma once

#include <LibBase/Findings.h>
#include <LibSettings/SettingsLoader.h>

#include <optional>
#include <vector>

#include <gflags/gflags.h>

DECLARE_string(settings);
DECLARE_string(platform);
DECLARE_string(http);
DECLARE_string(engine);

namespace Dogwoodkeel
{

/**
 * Load the settings that the flags name, and let the flags override.
 * @param sources gets the texts of the files, flags last
 * @param findings gets every mistake with its place
 * @return the settings, or nothing if there was a mistake
 */
std::optional<Settings> loadServeSettings(std::vector<SettingsSource> &sources, Findings &findings);

} // namespace Dogwoodkeel
