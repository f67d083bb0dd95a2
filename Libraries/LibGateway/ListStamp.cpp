#include <LibGateway/ListStamp.h>

namespace Dogwoodkeel
{

bool isMoreRecent(const ListStamp &received, const ListStamp &own)
{
    // The ages are measured at different moments, so that an older list can have the lower age.
    return received.version != own.version ? received.version > own.version : received.age < own.age;
}

} // namespace Dogwoodkeel
