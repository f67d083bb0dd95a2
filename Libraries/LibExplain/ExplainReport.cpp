#include <LibExplain/ExplainReport.h>

#include <algorithm>
#include <map>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** A failure of a replica or of a VM's network affects its other requests within about a second. */
constexpr std::chrono::seconds correlationWindow{1};
constexpr std::size_t eventWidth = 40;
/** Fields that identify the subject of a line. */
constexpr std::string_view subjectFields[] = {"replica", "service", "table", "count"};
/** Fields that identify one request, item or job. */
constexpr std::string_view workFields[] = {"request", "item", "job"};
constexpr std::string_view droppedLinesField = "lines_left_out_before";

bool isAboutWork(const LogLine &line)
{
    return std::ranges::any_of(workFields, [&line](std::string_view name) {
        return !line.field(name).empty();
    });
}

/** @return the replica that a request or item had to leave, or empty. */
std::string_view leftReplica(const LogLine &line)
{
    if (line.event == "request goes on at another replica") {
        return line.field("from");
    }
    const bool isLeft = line.event == "batch item goes on elsewhere"
        || line.event == "request was not run, trying another replica"
        || (line.event == "request over" && line.field("status") != "200");
    return isLeft ? line.field("replica") : std::string_view();
}

std::string padded(std::string text, std::size_t width)
{
    text.resize(std::max(width, text.size()), ' ');
    return text;
}

std::string rowOf(const LogLine &line, std::size_t repeats, const std::string &suffix)
{
    std::string row
        = "  " + timeOfDay(line.time) + "  " + line.vm + "  " + padded(line.event, eventWidth) + "  " + line.fieldsText();
    row += repeats > 1 ? " (" + std::to_string(repeats) + " such lines in a row)" : "";
    return row + suffix + '\n';
}

std::string ageText(WallTime::duration age)
{
    const auto tenths = std::chrono::round<std::chrono::milliseconds>(age).count() / 100;
    return std::to_string(tenths / 10) + '.' + std::to_string(tenths % 10) + " s before the end";
}

/** @return the topic of a line; a later line of the same topic replaces it. */
std::string topicOf(const LogLine &line)
{
    std::string topic = line.vm + '|' + line.event;
    for (const std::string_view name : subjectFields) {
        topic += '|' + std::string(line.field(name));
    }
    return topic;
}

} // namespace

ExplainReport::ExplainReport(std::string id) : id(std::move(id))
{
}

void ExplainReport::add(LogLine line)
{
    if (line.mentions(this->id)) {
        this->own.push_back(std::move(line));
    } else if (!isAboutWork(line)) {
        this->general.push_back(std::move(line));
    } else if (!leftReplica(line).empty()) {
        this->departures.push_back(std::move(line));
    }
}

bool ExplainReport::isKnown() const
{
    return !this->own.empty();
}

std::string ExplainReport::text()
{
    for (std::vector<LogLine> *const lines : {&this->own, &this->general, &this->departures}) {
        std::ranges::stable_sort(*lines, {}, &LogLine::time);
    }
    return this->ownLines() + this->nodeKnowledge() + this->relatedFailures() + this->gaps();
}

std::string ExplainReport::ownLines() const
{
    std::string text = "What became of " + this->id + ":\n";
    for (std::size_t first = 0; first < this->own.size();) {
        const LogLine &line = this->own[first];
        std::size_t next = first + 1;
        while (next < this->own.size() && this->own[next].event == line.event && this->own[next].fields == line.fields) {
            ++next;
        }
        text += rowOf(line, next - first, "");
        first = next;
    }
    return text;
}

std::set<std::string> ExplainReport::valuesOf(std::initializer_list<std::string_view> names) const
{
    std::set<std::string> values;
    for (const LogLine &line : this->own) {
        for (const std::string_view name : names) {
            if (!line.field(name).empty()) {
                values.emplace(line.field(name));
            }
        }
    }
    return values;
}

ExplainReport::Subjects ExplainReport::subjects() const
{
    Subjects subjects;
    subjects.replicas = this->valuesOf({"replica", "from"});
    subjects.services = this->valuesOf({"service"});
    for (const LogLine &line : this->own) {
        subjects.vms.insert(line.vm);
    }
    return subjects;
}

bool ExplainReport::isRelevant(const LogLine &line, const Subjects &subjects) const
{
    const std::string replica(line.field("replica"));
    const std::string service(line.field("service"));
    const bool isOtherReplica = !replica.empty() && !subjects.replicas.contains(replica);
    const bool isOtherService = !service.empty() && !subjects.services.empty() && !subjects.services.contains(service);
    return subjects.vms.contains(line.vm) && !isOtherReplica && !isOtherService && line.time <= this->own.back().time;
}

std::string ExplainReport::nodeKnowledge() const
{
    const Subjects subjects = this->subjects();
    std::map<std::string, const LogLine *> latest;
    for (const LogLine &line : this->general) {
        if (this->isRelevant(line, subjects)) {
            latest[topicOf(line)] = &line;
        }
    }
    std::vector<const LogLine *> lines;
    lines.reserve(latest.size());
    for (const auto &[topic, line] : latest) {
        lines.push_back(line);
    }
    std::ranges::stable_sort(lines, {}, &LogLine::time);
    std::string text = "\nWhat its nodes knew then, the newest of each kind:\n";
    for (const LogLine *const line : lines) {
        text += rowOf(*line, 1, "  [" + ageText(this->own.back().time - line->time) + "]");
    }
    return lines.empty() ? "\nNothing that its nodes knew then is in these logs.\n" : text;
}

std::string ExplainReport::relatedFailures() const
{
    // Other requests that left a replica at about the same time as this one.
    std::map<std::string, std::pair<std::size_t, std::set<std::string>>> sameReplica;
    std::map<std::string, std::set<std::string>> sameVm;
    for (const LogLine &line : this->own) {
        const std::string replica(leftReplica(line));
        if (replica.empty()) {
            continue;
        }
        for (const LogLine &other : this->departures) {
            if (std::chrono::abs(other.time - line.time) > correlationWindow) {
                continue;
            }
            if (leftReplica(other) == replica) {
                ++sameReplica[replica].first;
                sameReplica[replica].second.insert(other.vm);
            } else if (other.vm == line.vm) {
                sameVm[line.vm].emplace(leftReplica(other));
            }
        }
    }
    std::string text;
    for (const auto &[replica, others] : sameReplica) {
        text += "  " + std::to_string(others.first) + " others left " + replica + " within a second, at "
            + std::to_string(others.second.size())
            + (others.second.size() > 1 ? " VMs: the replica is the likely cause\n" : " VM\n");
    }
    for (const auto &[vm, replicas] : sameVm) {
        text += "  others at " + vm + " left " + std::to_string(replicas.size())
            + (replicas.size() > 1 ? " other replicas within a second: the VM or its network is the likely cause\n"
                                   : " other replica within a second\n");
    }
    return text.empty() ? text : "\nWhat befell others:\n" + text;
}

std::string ExplainReport::gaps() const
{
    std::size_t gaps = 0;
    for (const LogLine &line : this->general) {
        gaps += line.field(droppedLinesField).empty() ? 0 : 1;
    }
    for (const LogLine &line : this->own) {
        gaps += line.field(droppedLinesField).empty() ? 0 : 1;
    }
    return gaps == 0 ? std::string() : "\nThe logs have gaps: lines were left out under load.\n";
}

} // namespace Dogwoodkeel
