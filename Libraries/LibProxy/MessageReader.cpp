#include <LibProxy/MessageReader.h>

#include <LibBase/Numbers.h>
#include <LibProxy/HttpStatus.h>

#include <event2/buffer.h>
#include <evhtp/parser.h>

#include <algorithm>
#include <cstdlib>

namespace Dogwoodkeel
{

namespace
{

constexpr std::string_view headEnd = "\r\n\r\n";
constexpr std::string_view tokenCharacters = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
constexpr int stopParsing = 1;

/** Output of the parser's hooks. */
struct Collected
{
    HeaderList *headers = nullptr;
    std::string name;
    bool isNamePending = false;
    bool isFolded = false;
};

Collected &collectedOf(htparser *parser)
{
    return *static_cast<Collected *>(htparser_get_userdata(parser));
}

int onHeaderName(htparser *parser, const char *text, std::size_t size)
{
    Collected &collected = collectedOf(parser);
    collected.name.assign(text, size);
    collected.isNamePending = true;
    return 0;
}

int onHeaderValue(htparser *parser, const char *text, std::size_t size)
{
    Collected &collected = collectedOf(parser);
    // A value without a name continues the previous line (obsolete line folding), which implementations parse differently.
    collected.isFolded = collected.isFolded || !collected.isNamePending;
    collected.isNamePending = false;
    collected.headers->add(collected.name, std::string(trimmed({text, size})));
    return 0;
}

int onHeadComplete(htparser *)
{
    return stopParsing;
}

htparse_hooks headHooks()
{
    htparse_hooks hooks{};
    hooks.hdr_key = &onHeaderName;
    hooks.hdr_val = &onHeaderValue;
    hooks.on_hdrs_complete = &onHeadComplete;
    return hooks;
}

bool isToken(std::string_view text)
{
    return !text.empty() && text.find_first_not_of(tokenCharacters) == std::string_view::npos;
}

/** @return whether every line ends with CR LF and there is no NUL. Implementations parse other line ends differently. */
bool hasValidLineEnds(std::string_view text)
{
    for (std::size_t position = 0; position < text.size(); ++position) {
        const char character = text[position];
        const bool isBareFeed = character == '\n' && (position == 0 || text[position - 1] != '\r');
        const bool isBareReturn = character == '\r' && (position + 1 == text.size() || text[position + 1] != '\n');
        if (isBareFeed || isBareReturn || character == '\0') {
            return false;
        }
    }
    return true;
}

/** @return the status at the start of a text that ends or goes on with a space behind it (RFC 9110, section 15). */
std::optional<int> parseStatus(std::string_view text)
{
    constexpr std::size_t digits = 3;
    constexpr std::uint64_t minStatus = 100;
    constexpr std::uint64_t maxStatus = 599;
    const std::string_view number = text.substr(0, text.find(' '));
    const std::optional<std::uint64_t> status = number.size() == digits ? parseNumber(number) : std::nullopt;
    const bool isValid = status && *status >= minStatus && *status <= maxStatus;
    return isValid ? std::optional(static_cast<int>(*status)) : std::nullopt;
}

} // namespace

std::string_view nameOf(BodyFraming framing)
{
    switch (framing) {
    case BodyFraming::None:
        return "none";
    case BodyFraming::Length:
        return "length";
    case BodyFraming::Chunked:
        return "chunked";
    case BodyFraming::UntilClose:
        return "until close";
    }
    return "invalid";
}

void MessageReader::Free::operator()(htparser *parser) const
{
    std::free(parser);
}

MessageReader::MessageReader(Kind kind, std::size_t headBytes) : kind(kind), headBytes(headBytes), parser(htparser_new())
{
}

MessageReader::~MessageReader() = default;

void MessageReader::reset()
{
    this->current = {};
    this->remaining = 0;
}

const MessageHead &MessageReader::head() const
{
    return this->current;
}

ReadProgress MessageReader::readHead(evbuffer *input)
{
    // Empty lines before a message are skipped (RFC 9112, section 2.2).
    while (evbuffer_get_length(input) >= 2) {
        const auto *const start = reinterpret_cast<const char *>(evbuffer_pullup(input, 2));
        if (std::string_view(start, 2) != "\r\n") {
            break;
        }
        evbuffer_drain(input, 2);
    }
    const evbuffer_ptr end = evbuffer_search(input, headEnd.data(), headEnd.size(), nullptr);
    if (end.pos < 0) {
        return evbuffer_get_length(input) > this->headBytes ? ReadProgress::TooLarge : ReadProgress::NeedMore;
    }
    const std::size_t size = static_cast<std::size_t>(end.pos) + headEnd.size();
    if (size > this->headBytes) {
        return ReadProgress::TooLarge;
    }
    std::string text(size, '\0');
    evbuffer_remove(input, text.data(), text.size());
    return this->parseHead(text);
}

ReadProgress MessageReader::parseHead(const std::string &text)
{
    const std::string_view startLine(text.data(), text.find("\r\n"));
    if (!hasValidLineEnds(text) || !this->parseStartLine(startLine)) {
        return ReadProgress::Malformed;
    }
    if (this->kind == Kind::Response && this->current.status < firstFinalStatus) {
        // The parser stops behind the status line of an interim response, whose headers are not used.
        return ReadProgress::Done;
    }
    Collected collected;
    collected.headers = &this->current.headers;
    htparser_init(this->parser.get(), this->kind == Kind::Request ? htp_type_request : htp_type_response);
    htparser_set_userdata(this->parser.get(), &collected);
    htparse_hooks hooks = headHooks();
    const std::size_t read = htparser_run(this->parser.get(), &hooks, text.data(), text.size());
    const bool isStopped = htparser_get_error(this->parser.get()) == htparse_error_user;
    if (read != text.size() || !isStopped || collected.isFolded) {
        return ReadProgress::Malformed;
    }
    const bool areNamesValid = std::ranges::all_of(this->current.headers.fields(), [](const HeaderField &field) {
        return isToken(field.name);
    });
    const bool isHttp10 = startLine.find("HTTP/1.0") != std::string_view::npos;
    return areNamesValid && this->findFraming(isHttp10) ? ReadProgress::Done : ReadProgress::Malformed;
}

bool MessageReader::parseStartLine(std::string_view line)
{
    const std::size_t first = line.find(' ');
    if (first == std::string_view::npos) {
        return false;
    }
    if (this->kind == Kind::Response) {
        const std::optional<int> status = parseStatus(line.substr(first + 1));
        this->current.status = status.value_or(0);
        return line.starts_with("HTTP/1.") && status.has_value();
    }
    const std::size_t last = line.rfind(' ');
    const std::string_view version = line.substr(last + 1);
    this->current.method = line.substr(0, first);
    this->current.target = first < last ? line.substr(first + 1, last - first - 1) : std::string_view();
    const bool isTargetValid = this->current.target.find(' ') == std::string::npos && this->current.target.starts_with("/");
    return isToken(this->current.method) && isTargetValid && (version == "HTTP/1.1" || version == "HTTP/1.0");
}

bool MessageReader::findFraming(bool isHttp10)
{
    MessageHead &head = this->current;
    const std::size_t lengths = head.headers.count("Content-Length");
    const std::size_t codings = head.headers.count("Transfer-Encoding");
    const bool hasKeepAlive = head.headers.hasToken("Connection", "keep-alive");
    head.isPersistent = !head.headers.hasToken("Connection", "close") && (!isHttp10 || hasKeepAlive);
    if (lengths + codings > 1 || (codings > 0 && isHttp10)) {
        return false;
    }
    const bool hasNoBody = head.status != 0
        && (head.status < firstFinalStatus || head.status == statusNoContent || head.status == statusNotModified);
    if (hasNoBody) {
        return true;
    }
    if (codings == 1) {
        if (!isSameToken(*head.headers.find("Transfer-Encoding"), "chunked")) {
            return false;
        }
        head.framing = BodyFraming::Chunked;
        this->chunks.reset();
        return true;
    }
    if (lengths == 1) {
        const std::optional<std::uint64_t> length = parseNumber(*head.headers.find("Content-Length"));
        head.framing = length.value_or(0) > 0 ? BodyFraming::Length : BodyFraming::None;
        head.length = length.value_or(0);
        this->remaining = head.length;
        return length.has_value();
    }
    if (this->kind == Kind::Response) {
        head.framing = BodyFraming::UntilClose;
        head.isPersistent = false;
    }
    return true;
}

ReadProgress MessageReader::readBody(evbuffer *input, std::string &data)
{
    if (this->current.framing == BodyFraming::None) {
        return ReadProgress::Done;
    }
    if (this->current.framing == BodyFraming::Chunked) {
        return this->readChunks(input, data);
    }
    const std::size_t available = evbuffer_get_length(input);
    const bool hasLength = this->current.framing == BodyFraming::Length;
    const std::size_t size
        = hasLength ? static_cast<std::size_t>(std::min<std::uint64_t>(available, this->remaining)) : available;
    const std::size_t before = data.size();
    data.resize(before + size);
    evbuffer_remove(input, data.data() + before, size);
    if (!hasLength) {
        return ReadProgress::NeedMore;
    }
    this->remaining -= size;
    return this->remaining == 0 ? ReadProgress::Done : ReadProgress::NeedMore;
}

ReadProgress MessageReader::readChunks(evbuffer *input, std::string &data)
{
    const std::size_t size = evbuffer_get_length(input);
    if (size == 0) {
        return ReadProgress::NeedMore;
    }
    const auto *const bytes = reinterpret_cast<const char *>(evbuffer_pullup(input, -1));
    const ChunkedBodyReader::Progress progress = this->chunks.read({bytes, size}, data);
    evbuffer_drain(input, this->chunks.consumed());
    switch (progress) {
    case ChunkedBodyReader::Progress::NeedMore:
        return ReadProgress::NeedMore;
    case ChunkedBodyReader::Progress::Done:
        return ReadProgress::Done;
    case ChunkedBodyReader::Progress::Malformed:
        break;
    }
    return ReadProgress::Malformed;
}

} // namespace Dogwoodkeel
