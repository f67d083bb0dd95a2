#include <LibControl/ConfigurationCheck.h>

#include <algorithm>
#include <set>

namespace Dogwoodkeel
{

namespace
{

constexpr std::size_t maxContentBytes = 64UL * 1024 * 1024;

/** Replaces a VM's own file when a version is checked for a site and not for a node. */
constexpr const char *placeholderNode = "[node]\nvm = \"any\"\nfailure_domain = \"any\"\n";

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
    if (sizeOf(content) > maxContentBytes) {
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

/** Checks that a version neither opens a system with keys to everyone, nor leaves no operator who could change it again. */
void checkAccess(const Settings &settings, const std::string &site, Access access, Findings &findings)
{
    const std::string file = site.empty() ? baseFileName : overlayFileName(site);
    if (settings.tenants.empty()) {
        if (access == Access::NeedsKeys) {
            findings.add({file, 0, 0}, "there is no [[tenant]] any more: everyone would be let in as an operator");
        }
        return;
    }
    const bool hasOperator = std::ranges::any_of(settings.tenants, [](const TenantSettings &tenant) {
        return tenant.isOperator && !tenant.keyHashes.empty();
    });
    if (!hasOperator) {
        findings.add({file, 0, 0}, "no [[tenant]] with a key is an operator: nobody could change the configuration again");
    }
}

void checkSite(const ConfigurationContent &content, const std::string &site, Access access, Findings &findings)
{
    Findings siteFindings;
    const auto settings = loadVersion(content, site, {{"own", placeholderNode}}, siteFindings);
    if (settings) {
        checkAccess(*settings, site, access, siteFindings);
    }
    for (const Finding &finding : siteFindings.all()) {
        const std::string text = finding.toString();
        const bool isReported = std::ranges::any_of(findings.all(), [&text](const Finding &reported) {
            return reported.toString() == text;
        });
        if (!isReported) {
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

void checkConfiguration(const ConfigurationContent &content, Access access, Findings &findings)
{
    checkShape(content, findings);
    if (content.overlays.empty()) {
        checkSite(content, std::string(), access, findings);
    }
    for (const ConfigurationOverlay &overlay : content.overlays) {
        checkSite(content, overlay.site, access, findings);
    }
}

} // namespace Dogwoodkeel
