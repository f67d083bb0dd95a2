#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Splits a long text by content-defined chunking: boundaries depend on the nearby text only. A change of a few lines
 * changes one or two parts and the others keep their keys, so a node fetches only the changed parts.
 * @return the parts; their concatenation is the text
 */
std::vector<std::string> splitIntoParts(std::string_view text);

} // namespace Dogwoodkeel
