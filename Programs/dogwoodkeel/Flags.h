#pragma once

#include <LibBase/Findings.h>
#include <LibSettings/Generated/Settings.h>

#include <optional>

#include <gflags/gflags.h>

DECLARE_string(settings);
DECLARE_string(platform);
DECLARE_string(http);
DECLARE_string(engine);

namespace Dogwoodkeel
{

/**
 * Load the settings that the flags name, and let the flags override.
 * @param findings gets every mistake with its place
 * @return the settings, or nothing if there was a mistake
 */
std::optional<Settings> loadServeSettings(Findings &findings);

} // namespace Dogwoodkeel
