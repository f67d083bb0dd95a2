#include <LibGateway/ServingConfiguration.h>

#include <algorithm>
#include <numeric>

namespace Dogwoodkeel
{

const Route *ServingConfiguration::findRoute(std::string_view host, std::string_view path) const
{
    const Route *best = nullptr;
    for (const Route &route : this->routes) {
        const bool matches = route.host == host && path.starts_with(route.prefix);
        if (matches && (best == nullptr || route.prefix.size() > best->prefix.size())) {
            best = &route;
        }
    }
    return best;
}

const Route *ServingConfiguration::findBatchRoute(std::string_view host, std::string_view path) const
{
    const Route *const route = this->findRoute(host, path);
    return route != nullptr && route->kind == RouteKind::Batch ? route : nullptr;
}

const Route *ServingConfiguration::findBatchRoute(std::string_view name) const
{
    const auto found = std::ranges::find_if(this->routes, [name](const Route &route) {
        return route.name == name && route.kind == RouteKind::Batch;
    });
    return found != this->routes.end() ? &*found : nullptr;
}

const Service *ServingConfiguration::findService(const ServiceName &name) const
{
    const auto found = std::ranges::find(this->services, name, &Service::name);
    return found != this->services.end() ? &*found : nullptr;
}

std::uint32_t priorityOf(const Route &route, const Workspace *workspace)
{
    constexpr std::uint32_t routePriorityCount = 1U << 16U;
    constexpr std::uint32_t maxWorkspacePriority = 1U << 15U;
    const auto ofRoute = std::min(static_cast<std::uint32_t>(std::max(0, route.priority)), routePriorityCount - 1);
    const std::uint32_t ofWorkspace = workspace != nullptr ? std::min(workspace->priority, maxWorkspacePriority) : 0;
    return ofWorkspace * routePriorityCount + ofRoute;
}

const RouteTarget *selectTarget(const Route &route, double point)
{
    const double total
        = std::accumulate(route.targets.begin(), route.targets.end(), 0.0, [](double sum, const RouteTarget &target) {
              return sum + target.weight;
          });
    double remaining = point * total;
    for (const RouteTarget &target : route.targets) {
        remaining -= target.weight;
        if (remaining < 0 && target.weight > 0) {
            return &target;
        }
    }
    return nullptr;
}

} // namespace Dogwoodkeel
