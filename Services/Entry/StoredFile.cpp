#include <Services/Entry/StoredFile.h>

#include <nlohmann/json.hpp>

namespace Dogwoodkeel::StoredFile
{

std::string idOf(const WorkspaceName &tenant, const StoredItems &items)
{
    std::string parts = tenant.value();
    for (const std::string &object : items.objects) {
        parts += '\n' + object;
    }
    for (const std::string &object : items.idObjects) {
        parts += '\n' + object;
    }
    return "file-" + contentHash(parts);
}

std::string keyOf(std::string_view id)
{
    return "files/" + std::string(id);
}

std::string encode(const WorkspaceName &tenant, const StoredItems &items)
{
    return nlohmann::json({{"tenant", tenant.value()},
                           {"model", items.model},
                           {"fingerprint", items.fingerprint},
                           {"items", items.itemCount},
                           {"items_per_object", items.itemsPerObject},
                           {"objects", items.objects},
                           {"id_objects", items.idObjects}})
        .dump();
}

std::optional<StoredItems> decode(const WorkspaceName &tenant, std::string_view content)
{
    const nlohmann::json file = nlohmann::json::parse(content, nullptr, false);
    if (!file.is_object() || file.value("tenant", "") != tenant.value()) {
        return std::nullopt;
    }
    try {
        return StoredItems{.model = file.at("model"),
                           .fingerprint = file.at("fingerprint"),
                           .itemCount = file.at("items"),
                           .itemsPerObject = file.at("items_per_object"),
                           .objects = file.at("objects"),
                           .idObjects = file.at("id_objects")};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace Dogwoodkeel::StoredFile
