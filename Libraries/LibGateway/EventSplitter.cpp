#include <LibGateway/EventSplitter.h>

#include <LibBase/Numbers.h>

namespace Dogwoodkeel
{

namespace
{

/** @return the value after the field's name and colon, without one leading space, or nothing if it is another field. */
std::optional<std::string_view> fieldValue(std::string_view line, std::string_view name)
{
    if (!line.starts_with(name) || line.size() <= name.size() || line[name.size()] != ':') {
        return std::nullopt;
    }
    std::string_view value = line.substr(name.size() + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    return value;
}

StreamEvent parseEvent(std::string_view text)
{
    StreamEvent event;
    event.text = text;
    bool hasData = false;
    while (!text.empty()) {
        const std::size_t lineFeed = text.find('\n');
        std::string_view line = text.substr(0, lineFeed);
        text.remove_prefix(lineFeed == std::string_view::npos ? text.size() : lineFeed + 1);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (const std::optional<std::string_view> id = fieldValue(line, "id")) {
            event.id = parseNumber(*id);
        } else if (const std::optional<std::string_view> data = fieldValue(line, "data")) {
            event.data.append(hasData ? "\n" : "").append(*data);
            hasData = true;
        }
    }
    return event;
}

/** @return the offset after the first empty line, or npos. */
std::size_t eventEnd(std::string_view text, std::size_t from)
{
    for (std::size_t lineFeed = text.find('\n', from); lineFeed != std::string_view::npos;
         lineFeed = text.find('\n', lineFeed + 1)) {
        const std::string_view following = text.substr(lineFeed + 1);
        if (following.starts_with("\n")) {
            return lineFeed + 2;
        }
        if (following.starts_with("\r\n")) {
            return lineFeed + 3;
        }
    }
    return std::string_view::npos;
}

} // namespace

EventSplitter::EventSplitter(std::size_t maxEventBytes) : maxEventBytes(maxEventBytes)
{
}

std::vector<StreamEvent> EventSplitter::feed(std::string_view bytes)
{
    this->remainder.append(bytes);
    std::vector<StreamEvent> events;
    std::size_t start = 0;
    for (std::size_t end = eventEnd(this->remainder, start); end != std::string::npos; end = eventEnd(this->remainder, start)) {
        events.push_back(parseEvent(std::string_view(this->remainder).substr(start, end - start)));
        start = end;
    }
    this->remainder.erase(0, start);
    this->broken = this->broken || this->remainder.size() > this->maxEventBytes;
    return events;
}

bool EventSplitter::hasRemainder() const
{
    return !this->remainder.empty();
}

std::size_t EventSplitter::memory() const
{
    return this->remainder.capacity();
}

bool EventSplitter::isBroken() const
{
    return this->broken;
}

} // namespace Dogwoodkeel
