#pragma once

#include <LibSettings/Toml.h>

namespace Dogwoodkeel
{

class SettingsReader;
struct Settings;

/**
 * Find contradictions between settings that are each well formed: names used twice, endpoints that serve
 * neither a model nor a service, or a service nobody declared.
 * @param settings what was read
 * @param root where it was read from, for the places
 * @param reader takes the findings
 */
void checkSettings(const Settings &settings, const toml::table &root, SettingsReader &reader);

} // namespace Dogwoodkeel
