#include <LibSettings/SettingsLoader.h>

#include <LibSettings/SettingsChecks.h>
#include <LibSettings/SettingsReader.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

void mergeTable(toml::table &base, toml::table &&overlay);

std::string nameOf(const toml::node &element)
{
    const toml::table *const table = element.as_table();
    return table != nullptr ? (*table)["name"].value_or(std::string()) : std::string();
}

bool isListOfNamed(const toml::array &list)
{
    for (const toml::node &element : list) {
        if (nameOf(element).empty()) {
            return false;
        }
    }
    return !list.empty();
}

void mergeNamedList(toml::array &base, toml::array &&overlay)
{
    for (toml::node &element : overlay) {
        const std::string name = nameOf(element);
        toml::table *match = nullptr;
        for (toml::node &candidate : base) {
            if (nameOf(candidate) == name) {
                match = candidate.as_table();
            }
        }
        if (match != nullptr) {
            mergeTable(*match, std::move(*element.as_table()));
        } else {
            base.push_back(std::move(*element.as_table()));
        }
    }
}

// NOTE: Nodes are moved, never copied: a copy in toml++ loses its source position.
void mergeTable(toml::table &base, toml::table &&overlay)
{
    for (auto &&[key, node] : overlay) {
        toml::node *const existing = base.get(key.str());
        if (existing != nullptr && existing->is_table() && node.is_table()) {
            mergeTable(*existing->as_table(), std::move(*node.as_table()));
            continue;
        }
        if (existing != nullptr && existing->is_array() && node.is_array() && isListOfNamed(*existing->as_array())
            && isListOfNamed(*node.as_array())) {
            mergeNamedList(*existing->as_array(), std::move(*node.as_array()));
            continue;
        }
        const std::string name(key.str());
        node.visit([&base, &name](auto &value) {
            base.insert_or_assign(name, std::move(value));
        });
    }
}

bool isLocal(std::string_view section)
{
    return std::ranges::find(localSections, section) != localSections.end();
}

void applyScope(toml::table &table, const SettingsSource &source, SettingsReader &reader)
{
    std::vector<std::string> skippedSections;
    const bool wantsLocal = source.scope == SettingsScope::LocalSections;
    for (const auto &[key, node] : table) {
        if (source.scope != SettingsScope::All && isLocal(key.str()) != wantsLocal) {
            skippedSections.emplace_back(key.str());
        }
        if (source.scope == SettingsScope::SharedSections && isLocal(key.str())) {
            reader.add(node, "[" + std::string(key.str()) + "] belongs into the VM's own file, not into a version");
        }
    }
    for (const std::string &key : skippedSections) {
        table.erase(key);
    }
}

/** @return the table of the source, or nothing after adding a finding. */
std::optional<toml::table> parseSource(const SettingsSource &source, Findings &findings)
{
    try {
        toml::parse_result parsed = toml::parse(source.text, source.name);
        if (parsed) {
            return std::move(parsed).table();
        }
        const toml::source_position position = parsed.error().source().begin;
        findings.add({source.name, position.line, position.column}, std::string(parsed.error().description()));
    } catch (const TomlAssertionError &) {
        findings.add({source.name, 0, 0}, "this is no TOML; the place could not be found");
    }
    return std::nullopt;
}

} // namespace

std::optional<Settings> loadSettings(const std::vector<SettingsSource> &sources, Findings &findings)
{
    toml::table merged;
    SettingsReader reader(findings);
    const std::size_t before = findings.all().size();
    bool isParsed = true;
    for (const SettingsSource &source : sources) {
        std::optional<toml::table> parsed = parseSource(source, findings);
        if (!parsed) {
            isParsed = false;
            continue;
        }
        toml::table table = std::move(*parsed);
        applyScope(table, source, reader);
        mergeTable(merged, std::move(table));
    }
    if (!isParsed) {
        return std::nullopt;
    }
    Settings settings;
    readSettings(reader, merged, settings);
    checkSettings(settings, merged, reader);
    if (findings.all().size() > before) {
        return std::nullopt;
    }
    return settings;
}

void readSettingsFiles(const std::vector<std::string> &paths, std::vector<SettingsSource> &sources, Findings &findings)
{
    for (const std::string &path : paths) {
        std::ifstream file(path, std::ios::binary);
        std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
        if (!file) {
            findings.add({path, 0, 0}, "cannot be read");
            continue;
        }
        sources.push_back({path, std::move(text)});
    }
}

} // namespace Dogwoodkeel
