#include <LibControl/ConfigurationCheck.h>

#include <algorithm>
#include <set>

namespace Dogwoodkeel
{

namespace
{

constexpr std::size_t largestContent = 64UL * 1024 * 1024;

/** Stands for a VM's own file where a version is checked for a site and not for a node. */
constexpr const char *anyNode = "[node]\nvm = \"any\"\nfailure_domain = \"any\"\n";

std::size_t sizeOf(const ConfigurationContent &content)
{
    std::size_t size = content.base.size();
    for (const ConfigurationOverlay &overlay : content.overlays) {
        size += overlay.text.size();
    }
    return size;
}

void checkShape(const ConfigurationContent &content, Findings &findings)
{
    if (sizeOf(content) > largestContent) {
        findings.add({baseFileName, 0, 0}, "base and overlays together may have 64 MiB at most");
    }
    std::set<std::string> sites;
    for (const ConfigurationOverlay &overlay : content.overlays) {
        if (overlay.site.empty() || overlay.site.find('/') != std::string::npos) {
            findings.add({overlayFileName(overlay.site), 0, 0}, "a site needs a name without a slash");
        }
        if (!sites.insert(overlay.site).second) {
            findings.add({overlayFileName(overlay.site), 0, 0}, "the site has two overlays");
        }
    }
}

void checkSite(const ConfigurationContent &content, const std::string &site, Findings &findings)
{
    Findings ofSite;
    loadVersion(content, site, {{"own", anyNode}}, ofSite);
    for (const Finding &finding : ofSite.all()) {
        const std::string text = finding.toString();
        const bool isKnown = std::ranges::any_of(findings.all(), [&text](const Finding &known) {
            return known.toString() == text;
        });
        if (!isKnown) {
            findings.add(finding.place, finding.message);
        }
    }
}

} // namespace

std::string overlayFileName(const std::string &site)
{
    return "sites/" + site + ".toml";
}

std::optional<Settings> loadVersion(const ConfigurationContent &content,
                                    const std::string &site,
                                    const std::vector<SettingsSource> &ownFiles,
                                    Findings &findings)
{
    std::vector<SettingsSource> sources;
    sources.push_back({baseFileName, content.base, SettingsScope::SharedSections});
    for (const ConfigurationOverlay &overlay : content.overlays) {
        if (overlay.site == site) {
            sources.push_back({overlayFileName(site), overlay.text, SettingsScope::SharedSections});
        }
    }
    for (const SettingsSource &file : ownFiles) {
        sources.push_back({file.name, file.text, SettingsScope::LocalSections});
    }
    return loadSettings(sources, findings);
}

void checkConfiguration(const ConfigurationContent &content, Findings &findings)
{
    checkShape(content, findings);
    if (content.overlays.empty()) {
        checkSite(content, std::string(), findings);
    }
    for (const ConfigurationOverlay &overlay : content.overlays) {
        checkSite(content, overlay.site, findings);
    }
}

} // namespace Dogwoodkeel
