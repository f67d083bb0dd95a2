#include <LibBase/JsonDepth.h>

namespace Dogwoodkeel
{

bool isNestedTooDeep(std::string_view text)
{
    std::size_t depth = 0;
    bool isInString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char character = text[i];
        if (isInString && character == '\\') {
            ++i;
        } else if (character == '"') {
            isInString = !isInString;
        } else if (!isInString && (character == '[' || character == '{')) {
            if (++depth > jsonDepthLimit) {
                return true;
            }
        } else if (!isInString && (character == ']' || character == '}') && depth > 0) {
            --depth;
        }
    }
    return false;
}

} // namespace Dogwoodkeel
