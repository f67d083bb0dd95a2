#include <LibSettings/SettingsReader.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace Dogwoodkeel
{

namespace
{

SourcePosition positionOf(const toml::node &node)
{
    const toml::source_region &source = node.source();
    return {source.path ? *source.path : std::string(), source.begin.line, source.begin.column};
}

} // namespace

SettingsReader::SettingsReader(Findings &findings) : findings(findings)
{
}

void SettingsReader::add(const toml::node &node, std::string message)
{
    this->findings.add(positionOf(node), std::move(message));
}

const toml::node *SettingsReader::find(const toml::table &table, std::string_view key, Presence presence)
{
    const toml::node *const node = table.get(key);
    if (node == nullptr && presence == Presence::Required) {
        this->add(table, std::string(key) + " is missing");
    }
    return node;
}

void SettingsReader::rejectUnknownKeys(const toml::table &table, std::initializer_list<std::string_view> known)
{
    for (const auto &[key, node] : table) {
        if (std::ranges::find(known, key.str()) == known.end()) {
            this->add(node, "unknown key " + std::string(key.str()));
        }
    }
}

void SettingsReader::readString(const toml::table &table, std::string_view key, std::string &target, Presence presence)
{
    const toml::node *const node = this->find(table, key, presence);
    if (node == nullptr) {
        return;
    }
    if (const auto text = node->value_exact<std::string>()) {
        target = *text;
        return;
    }
    this->add(*node, std::string(key) + " must be a string");
}

void SettingsReader::readBool(const toml::table &table, std::string_view key, bool &target, Presence presence)
{
    const toml::node *const node = this->find(table, key, presence);
    if (node == nullptr) {
        return;
    }
    if (const auto value = node->value_exact<bool>()) {
        target = *value;
        return;
    }
    this->add(*node, std::string(key) + " must be true or false");
}

void SettingsReader::readInteger(
    const toml::table &table, std::string_view key, std::int64_t &target, Presence presence, Bounds<std::int64_t> bounds)
{
    const toml::node *const node = this->find(table, key, presence);
    if (node == nullptr) {
        return;
    }
    const auto value = node->value_exact<std::int64_t>();
    if (!value || *value < bounds.min || *value > bounds.max) {
        this->add(*node,
                  std::string(key) + " must be a whole number from " + std::to_string(bounds.min) + " to "
                      + std::to_string(bounds.max));
        return;
    }
    target = *value;
}

void SettingsReader::readNumber(
    const toml::table &table, std::string_view key, double &target, Presence presence, Bounds<double> bounds)
{
    const toml::node *const node = this->find(table, key, presence);
    if (node == nullptr) {
        return;
    }
    const auto value = node->value<double>();
    if (!value || *value < bounds.min || *value > bounds.max) {
        this->add(*node,
                  std::string(key) + " must be a number from " + std::to_string(bounds.min) + " to "
                      + std::to_string(bounds.max));
        return;
    }
    target = *value;
}

void SettingsReader::readDuration(const toml::table &table,
                                  std::string_view key,
                                  std::chrono::milliseconds &target,
                                  Presence presence,
                                  Bounds<std::chrono::milliseconds> bounds)
{
    const toml::node *const node = this->find(table, key, presence);
    if (node == nullptr) {
        return;
    }
    const auto text = node->value_exact<std::string>();
    const auto duration = text ? parseDuration(*text) : std::nullopt;
    if (!duration || *duration < bounds.min || *duration > bounds.max) {
        this->add(*node,
                  std::string(key) + " must be a duration such as \"250ms\", from " + std::to_string(bounds.min.count())
                      + "ms to " + std::to_string(bounds.max.count()) + "ms");
        return;
    }
    target = *duration;
}

void SettingsReader::readAddress(const toml::table &table, std::string_view key, Address &target, Presence presence)
{
    const toml::node *const node = this->find(table, key, presence);
    if (node == nullptr) {
        return;
    }
    const auto text = node->value_exact<std::string>();
    const auto address = text ? Address::parse(*text) : std::nullopt;
    if (!address) {
        this->add(*node, std::string(key) + " must be an IPv4 address and port such as \"127.0.0.1:80\"");
        return;
    }
    target = *address;
}

void SettingsReader::readStrings(const toml::table &table,
                                 std::string_view key,
                                 std::vector<std::string> &target,
                                 Presence presence)
{
    const toml::node *const node = this->find(table, key, presence);
    if (node == nullptr) {
        return;
    }
    const toml::array *const list = node->as_array();
    if (list == nullptr || (!list->empty() && !list->is_homogeneous<std::string>())) {
        this->add(*node, std::string(key) + " must be a list of strings");
        return;
    }
    target.clear();
    for (const toml::node &element : *list) {
        target.push_back(*element.value<std::string>());
    }
}

void SettingsReader::readAddresses(const toml::table &table,
                                   std::string_view key,
                                   std::vector<Address> &target,
                                   Presence presence)
{
    std::vector<std::string> texts;
    this->readStrings(table, key, texts, presence);
    for (const std::string &text : texts) {
        if (const auto address = Address::parse(text)) {
            target.push_back(*address);
            continue;
        }
        this->add(*table.get(key), '"' + text + "\" is no IPv4 address and port");
    }
}

std::vector<const toml::table *> SettingsReader::tablesOf(const toml::table &root, std::string_view key)
{
    std::vector<const toml::table *> tables;
    const toml::node *const node = root.get(key);
    if (node == nullptr) {
        return tables;
    }
    const toml::array *const list = node->as_array();
    if (list == nullptr) {
        this->add(*node, std::string(key) + " must be a list: [[" + std::string(key) + "]]");
        return tables;
    }
    for (const toml::node &element : *list) {
        if (const toml::table *const table = element.as_table()) {
            tables.push_back(table);
        } else {
            this->add(element, std::string(key) + " must hold tables");
        }
    }
    return tables;
}

std::optional<std::chrono::milliseconds> parseDuration(std::string_view text)
{
    struct Unit
    {
        std::string_view name;
        std::int64_t milliseconds;
    };
    static constexpr std::array<Unit, 5> units{{{"ms", 1}, {"s", 1000}, {"min", 60'000}, {"h", 3'600'000}, {"d", 86'400'000}}};
    static constexpr double maxNumber = 1'000'000'000;
    double number = 0;
    const char *const end = text.data() + text.size();
    const auto [numberEnd, error] = std::from_chars(text.data(), end, number, std::chars_format::fixed);
    if (error != std::errc() || !(number >= 0 && number <= maxNumber)) {
        return std::nullopt;
    }
    const std::string_view unitText(numberEnd, static_cast<std::size_t>(end - numberEnd));
    for (const Unit &unit : units) {
        if (unit.name == unitText) {
            return std::chrono::milliseconds(std::llround(number * static_cast<double>(unit.milliseconds)));
        }
    }
    return std::nullopt;
}

} // namespace Dogwoodkeel
