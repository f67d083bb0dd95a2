#include <LibDispatch/PlacementTypes.h>

#include <LibBase/Hash.h>

namespace Dogwoodkeel
{

std::uint32_t nameHashOf(const EndpointName &instance)
{
    return static_cast<std::uint32_t>(stableHash(instance.value()));
}

} // namespace Dogwoodkeel
