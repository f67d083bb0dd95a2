#pragma once

#include <LibSettings/Toml.h>

namespace Dogwoodkeel
{

class SettingsReader;
struct Settings;

/**
 * Checks the consistency of settings that are each well formed: reports duplicate names, endpoints that do not serve
 * exactly one model or service, services that are not declared, and contradictory model and lease settings.
 * @param settings the settings
 * @param root the table that they were read from, for the positions of findings
 * @param reader collects the findings
 */
void checkSettings(const Settings &settings, const toml::table &root, SettingsReader &reader);

} // namespace Dogwoodkeel
