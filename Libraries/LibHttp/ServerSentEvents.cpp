#include <LibHttp/ServerSentEvents.h>

namespace Dogwoodkeel
{

namespace
{

constexpr std::string_view dataField = "data:";

std::string dataOf(std::string_view event)
{
    std::string data;
    bool isFirst = true;
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (!line.starts_with(dataField)) {
            continue;
        }
        line.remove_prefix(dataField.size());
        if (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        data += isFirst ? "" : "\n";
        data += line;
        isFirst = false;
    }
    return data;
}

} // namespace

ServerSentEvents::ServerSentEvents(std::size_t limit) : limit(limit)
{
}

std::vector<std::string> ServerSentEvents::feed(std::string_view bytes)
{
    std::vector<std::string> events;
    for (const char byte : bytes) {
        if (byte != '\r') {
            this->buffer.push_back(byte);
        }
    }
    std::size_t start = 0;
    for (std::size_t end = this->buffer.find("\n\n"); end != std::string::npos; end = this->buffer.find("\n\n", start)) {
        std::string data = dataOf(std::string_view(this->buffer).substr(start, end - start));
        if (!data.empty()) {
            events.push_back(std::move(data));
        }
        start = end + 2;
    }
    this->buffer.erase(0, start);
    this->broken = this->broken || this->buffer.size() > this->limit;
    return events;
}

bool ServerSentEvents::isBroken() const
{
    return this->broken;
}

std::string ServerSentEvents::format(std::string_view data)
{
    std::string event(dataField);
    event += ' ';
    event += data;
    event += "\n\n";
    return event;
}

} // namespace Dogwoodkeel
