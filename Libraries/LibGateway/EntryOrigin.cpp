#include <LibGateway/EntryOrigin.h>

namespace Dogwoodkeel
{

std::string_view nameOf(EntrySource source)
{
    switch (source) {
    case EntrySource::Store:
        return "store";
    case EntrySource::OtherNode:
        return "other node";
    case EntrySource::Sample:
        return "sample";
    case EntrySource::Dispatcher:
        return "dispatcher";
    }
    return "unknown";
}

} // namespace Dogwoodkeel
