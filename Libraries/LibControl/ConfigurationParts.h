#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Cut a long text into parts whose borders depend on the text nearby only: a change of a few lines changes one or two
 * parts, and the others keep their keys. A node then fetches what changed, not the whole configuration.
 * @return the parts; joined, they are the text
 */
std::vector<std::string> splitIntoParts(std::string_view text);

} // namespace Dogwoodkeel
