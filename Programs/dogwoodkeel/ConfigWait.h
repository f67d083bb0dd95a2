#pragma once

#include "Command.h"

#include <cstdint>

namespace Dogwoodkeel
{

/**
 * Waits until every node of every site has a version in force and prints the progress. After --timeout it lists the nodes
 * that do not have it in force and fails.
 */
ExitCode waitInForce(std::uint64_t version);

} // namespace Dogwoodkeel
