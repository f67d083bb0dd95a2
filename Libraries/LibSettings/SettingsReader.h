#pragma once

#include <LibBase/Address.h>
#include <LibBase/Findings.h>
#include <LibSettings/Toml.h>

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

struct Settings;

/** Whether a key is required. */
enum class Presence {
    Optional,
    Required,
};

/** Minimum and maximum of the allowed values. */
template <typename Value>
struct Bounds
{
    Value min = std::numeric_limits<Value>::lowest();
    Value max = std::numeric_limits<Value>::max();
};

/**
 * Reads values from parsed tables and checks them. Reading continues after an error: each error becomes a finding with its
 * position, and the target keeps its default.
 */
class SettingsReader
{
public:
    /** @param findings collects the errors; outlives the reader */
    explicit SettingsReader(Findings &findings);

    void rejectUnknownKeys(const toml::table &table, std::initializer_list<std::string_view> known);
    void readString(const toml::table &table, std::string_view key, std::string &target, Presence presence);
    void readBool(const toml::table &table, std::string_view key, bool &target, Presence presence);
    void readInteger(
        const toml::table &table, std::string_view key, std::int64_t &target, Presence presence, Bounds<std::int64_t> bounds);
    void readNumber(const toml::table &table, std::string_view key, double &target, Presence presence, Bounds<double> bounds);
    void readDuration(const toml::table &table,
                      std::string_view key,
                      std::chrono::milliseconds &target,
                      Presence presence,
                      Bounds<std::chrono::milliseconds> bounds);
    void readAddress(const toml::table &table, std::string_view key, Address &target, Presence presence);
    void readStrings(const toml::table &table, std::string_view key, std::vector<std::string> &target, Presence presence);
    void readAddresses(const toml::table &table, std::string_view key, std::vector<Address> &target, Presence presence);

    template <typename Enum>
    void readEnum(const toml::table &table,
                  std::string_view key,
                  Enum &target,
                  Presence presence,
                  std::initializer_list<std::pair<std::string_view, Enum>> values)
    {
        std::string text;
        if (!this->find(table, key, presence)) {
            return;
        }
        this->readString(table, key, text, presence);
        std::string names;
        for (const auto &[name, value] : values) {
            if (name == text) {
                target = value;
                return;
            }
            names += names.empty() ? "" : ", ";
            names += name;
        }
        this->add(*table.get(key), std::string(key) + " must be one of: " + names);
    }

    template <typename Target>
    void readTable(const toml::table &root,
                   std::string_view key,
                   Target &target,
                   Presence presence,
                   void (*read)(SettingsReader &, const toml::table &, Target &))
    {
        if (const toml::node *const node = this->find(root, key, presence)) {
            if (const toml::table *const table = node->as_table()) {
                read(*this, *table, target);
                return;
            }
            this->add(*node, std::string(key) + " must be a table");
        }
    }

    template <typename Element>
    void readList(const toml::table &root,
                  std::string_view key,
                  std::vector<Element> &target,
                  void (*read)(SettingsReader &, const toml::table &, Element &))
    {
        for (const toml::table *const table : this->tablesOf(root, key)) {
            read(*this, *table, target.emplace_back());
        }
    }

    /**
     * Reports an error at a value.
     * @param node the value
     * @param message description of the error
     */
    void add(const toml::node &node, std::string message);

private:
    const toml::node *find(const toml::table &table, std::string_view key, Presence presence);
    std::vector<const toml::table *> tablesOf(const toml::table &root, std::string_view key);

    Findings &findings;
};

/**
 * @param text a number with the unit ms, s, min, h or d
 * @return the duration, or nothing if the text is malformed or too large
 */
std::optional<std::chrono::milliseconds> parseDuration(std::string_view text);

/** Reads all sections; generated from Schema/settings.toml. */
void readSettings(SettingsReader &reader, const toml::table &root, Settings &settings);

} // namespace Dogwoodkeel
