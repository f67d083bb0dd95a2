#include <LibGateway/ListStamp.h>

namespace Dogwoodkeel
{

bool isMoreRecent(const ListStamp &received, const ListStamp &own)
{
    return received.age < own.age;
}

} // namespace Dogwoodkeel
