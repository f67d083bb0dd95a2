#include <LibHttp/QueryNumbers.h>

#include <LibBase/Numbers.h>
#include <LibHttp/HttpTypes.h>

namespace Dogwoodkeel
{

QueryNumbers::QueryNumbers(std::string_view query) : query(query)
{
}

bool QueryNumbers::isValid() const
{
    return this->message.empty();
}

const std::string &QueryNumbers::error() const
{
    return this->message;
}

std::uint64_t QueryNumbers::upTo(std::string_view name, std::uint64_t fallback, std::uint64_t max)
{
    const std::optional<std::string> text = queryValue(this->query, name);
    if (!text) {
        return fallback;
    }
    const std::optional<std::uint64_t> number = parseNumber(*text);
    if (number && *number <= max) {
        return *number;
    }
    if (this->message.empty()) {
        this->message = "the parameter " + std::string(name) + " must be a decimal number of at most " + std::to_string(max);
    }
    return fallback;
}

} // namespace Dogwoodkeel
