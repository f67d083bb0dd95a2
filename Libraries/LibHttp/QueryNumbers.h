#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

namespace Dogwoodkeel
{

/** Reads numbers from the query parameters of one request, and records the first parameter that is no number. */
class QueryNumbers
{
public:
    /** @param query the query without its question mark; must outlive this object */
    explicit QueryNumbers(std::string_view query);

    /** @return the parameter as a number; the fallback if it is missing, not a decimal number or beyond the range of the type. */
    template <typename Number>
    Number number(std::string_view name, Number fallback)
    {
        return static_cast<Number>(this->upTo(name, fallback, std::numeric_limits<Number>::max()));
    }

    /** @return whether all parameters that were read are missing or numbers in range. */
    bool isValid() const;

    /** @return a message for the caller about the first invalid parameter; empty if there is none. */
    const std::string &error() const;

private:
    std::uint64_t upTo(std::string_view name, std::uint64_t fallback, std::uint64_t max);

    std::string_view query;
    std::string message;
};

} // namespace Dogwoodkeel
