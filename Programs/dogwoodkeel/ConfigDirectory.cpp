#include "ConfigDirectory.h"

#include <LibControl/ConfigurationCheck.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

namespace fs = std::filesystem;

constexpr const char *versionFile = "VERSION";

std::optional<std::string> readFile(const fs::path &path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    return file ? std::optional(std::move(text)) : std::nullopt;
}

bool writeFile(const fs::path &path, const std::string &text)
{
    std::ofstream file(path, std::ios::binary);
    file << text;
    return file.good();
}

} // namespace

ConfigDirectory::ConfigDirectory(std::string path) : path(std::move(path))
{
}

std::optional<ConfigurationContent> ConfigDirectory::read() const
{
    auto base = readFile(fs::path(this->path) / baseFileName);
    if (!base) {
        return std::nullopt;
    }
    ConfigurationContent content{*std::move(base), {}};
    std::error_code error;
    for (const fs::directory_entry &entry : fs::directory_iterator(fs::path(this->path) / "sites", error)) {
        if (entry.path().extension() == ".toml") {
            content.overlays.push_back({entry.path().stem().string(), readFile(entry.path()).value_or(std::string())});
        }
    }
    std::ranges::sort(content.overlays, {}, &ConfigurationOverlay::site);
    return content;
}

std::uint64_t ConfigDirectory::edited() const
{
    std::uint64_t version = 0;
    std::ifstream(fs::path(this->path) / versionFile) >> version;
    return version;
}

bool ConfigDirectory::write(std::uint64_t version, const ConfigurationContent &content) const
{
    const fs::path folder(this->path);
    std::error_code error;
    fs::create_directories(folder / "sites", error);
    bool isWritten = writeFile(folder / baseFileName, content.base);
    for (const ConfigurationOverlay &overlay : content.overlays) {
        isWritten = writeFile(folder / overlayFileName(overlay.site), overlay.text) && isWritten;
    }
    return this->writeVersion(version) && isWritten;
}

bool ConfigDirectory::writeVersion(std::uint64_t version) const
{
    return writeFile(fs::path(this->path) / versionFile, std::to_string(version) + '\n');
}

} // namespace Dogwoodkeel
