#include <LibSettings/SettingsChecks.h>

#include <LibSettings/Generated/Settings.h>
#include <LibSettings/SettingsReader.h>

#include <set>

namespace Dogwoodkeel
{

namespace
{

const toml::node &elementAt(const toml::table &root, std::string_view list, std::size_t index)
{
    const toml::node *const node = root[list][index].node();
    return node != nullptr ? *node : root;
}

template <typename Element>
void checkNamesAreUnique(const std::vector<Element> &elements,
                         std::string_view list,
                         const toml::table &root,
                         SettingsReader &reader)
{
    std::set<std::string> names;
    for (std::size_t i = 0; i < elements.size(); ++i) {
        if (!names.insert(elements[i].name).second) {
            reader.add(elementAt(root, list, i), std::string(list) + " name \"" + elements[i].name + "\" is used twice");
        }
    }
}

void checkEndpoints(const Settings &settings, const toml::table &root, SettingsReader &reader)
{
    std::set<std::string> services;
    for (const ServiceSettings &service : settings.services) {
        services.insert(service.name);
    }
    for (std::size_t i = 0; i < settings.endpoints.size(); ++i) {
        const EndpointSettings &endpoint = settings.endpoints[i];
        const toml::node &node = elementAt(root, "endpoint", i);
        if (endpoint.model.empty() == endpoint.service.empty()) {
            reader.add(node, "endpoint " + endpoint.name + " must name either a model or a service");
        }
        if (!endpoint.service.empty() && !services.contains(endpoint.service)) {
            reader.add(node, "endpoint " + endpoint.name + " names a service that no [[service]] declares: " + endpoint.service);
        }
    }
}

void checkModels(const Settings &settings, const toml::table &root, SettingsReader &reader)
{
    for (std::size_t i = 0; i < settings.models.size(); ++i) {
        const ModelSettings &model = settings.models[i];
        if (model.nextShare > 0 && model.nextVersion.empty()) {
            reader.add(elementAt(root, "model", i), "model " + model.name + " has a next_share without a next_version");
        }
        if (model.version.empty()) {
            reader.add(elementAt(root, "model", i), "model " + model.name + " has an empty version");
        }
    }
    if (settings.orders.leaseMargin * 2 >= settings.orders.lease) {
        const toml::node *const orders = root.get("orders");
        reader.add(orders != nullptr ? *orders : root, "orders.lease must be more than twice orders.lease_margin");
    }
}

} // namespace

void checkSettings(const Settings &settings, const toml::table &root, SettingsReader &reader)
{
    checkNamesAreUnique(settings.endpoints, "endpoint", root, reader);
    checkNamesAreUnique(settings.services, "service", root, reader);
    checkNamesAreUnique(settings.tenants, "tenant", root, reader);
    checkNamesAreUnique(settings.models, "model", root, reader);
    checkEndpoints(settings, root, reader);
    checkModels(settings, root, reader);
}

} // namespace Dogwoodkeel
