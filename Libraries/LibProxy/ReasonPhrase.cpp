#include <LibProxy/ReasonPhrase.h>

#include <algorithm>
#include <array>

namespace Dogwoodkeel
{

namespace
{

struct Phrase
{
    int status;
    const char *text;
};

constexpr std::array<Phrase, 17> phrases{{
    {200, "OK"},
    {201, "Created"},
    {202, "Accepted"},
    {204, "No Content"},
    {400, "Bad Request"},
    {404, "Not Found"},
    {405, "Method Not Allowed"},
    {408, "Request Timeout"},
    {413, "Content Too Large"},
    {421, "Misdirected Request"},
    {422, "Unprocessable Content"},
    {429, "Too Many Requests"},
    {431, "Request Header Fields Too Large"},
    {500, "Internal Server Error"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
}};

} // namespace

const char *reasonPhrase(int status)
{
    const auto *const found = std::ranges::find(phrases, status, &Phrase::status);
    return found != phrases.end() ? found->text : "Status";
}

} // namespace Dogwoodkeel
