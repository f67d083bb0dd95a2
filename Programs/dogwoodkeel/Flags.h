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
 * Loads the settings files named by --settings; the other flags override their values.
 * @param sources receives the contents of the files, followed by the flags as one more source
 * @param findings receives every error with its file, line and column
 * @return the settings, or nothing if there was an error
 */
std::optional<Settings> loadServeSettings(std::vector<SettingsSource> &sources, Findings &findings);

} // namespace Dogwoodkeel
