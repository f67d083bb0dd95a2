#pragma once

#include "Command.h"

#include <cstdint>

namespace Dogwoodkeel
{

/** Wait until every node of every site has a version in force, telling the progress; after --timeout tell which have not. */
ExitCode waitInForce(std::uint64_t version);

} // namespace Dogwoodkeel
