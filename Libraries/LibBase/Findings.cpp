#include <LibBase/Findings.h>

#include <utility>

namespace Dogwoodkeel
{

std::string Finding::toString() const
{
    std::string text = this->place.file;
    if (this->place.line > 0) {
        text += ':' + std::to_string(this->place.line) + ':' + std::to_string(this->place.column);
    }
    return text + ": " + this->message;
}

void Findings::add(SourcePosition place, std::string message)
{
    this->list.push_back({std::move(place), std::move(message)});
}

bool Findings::isEmpty() const
{
    return this->list.empty();
}

const std::vector<Finding> &Findings::all() const
{
    return this->list;
}

std::string Findings::toString() const
{
    std::string text;
    for (const Finding &finding : this->list) {
        text += finding.toString() + '\n';
    }
    return text;
}

} // namespace Dogwoodkeel
