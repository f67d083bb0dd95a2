#include "Flags.h"

#include <LibSettings/SettingsLoader.h>

#include <fstream>
#include <sstream>

DEFINE_string(settings, "", "settings files, separated by commas: base first, then files that override it");
DEFINE_string(platform, "", "http or embedded: overrides platform.kind");
DEFINE_string(http, "", "address for callers: overrides listen.http");
DEFINE_string(engine, "", "for a trial: MODEL=ADDRESS of one engine");

namespace Dogwoodkeel
{

namespace
{

std::vector<std::string> splitPaths(const std::string &list)
{
    std::vector<std::string> paths;
    std::istringstream stream(list);
    for (std::string path; std::getline(stream, path, ',');) {
        paths.push_back(path);
    }
    return paths;
}

/** Settings that a trial needs besides the flags, so that a node can start without any file. */
constexpr const char *trialDefaults = "[node]\nvm = \"trial\"\nfailure_domain = \"trial\"\n";

/** Returns the flags as the last settings source, so that they are checked in the same way as settings. */
std::string flagsAsSettings()
{
    std::string text;
    if (!FLAGS_platform.empty()) {
        text += "[platform]\nkind = \"" + FLAGS_platform + "\"\n";
    }
    if (!FLAGS_http.empty()) {
        text += "[listen]\nhttp = \"" + FLAGS_http + "\"\n";
    }
    const std::size_t equals = FLAGS_engine.find('=');
    if (equals != std::string::npos) {
        text += "[[endpoint]]\nname = \"trial-engine\"\nfailure_domain = \"trial\"\nmodel = \"" + FLAGS_engine.substr(0, equals)
            + "\"\naddress = \"" + FLAGS_engine.substr(equals + 1) + "\"\n";
    }
    return text;
}

} // namespace

std::optional<Settings> loadServeSettings(std::vector<SettingsSource> &sources, Findings &findings)
{
    if (FLAGS_settings.empty()) {
        sources.push_back({"defaults", trialDefaults});
    }
    const std::size_t before = findings.all().size();
    readSettingsFiles(splitPaths(FLAGS_settings), sources, findings);
    if (findings.all().size() > before) {
        return std::nullopt;
    }
    sources.push_back({"command line", flagsAsSettings()});
    return loadSettings(sources, findings);
}

} // namespace Dogwoodkeel
