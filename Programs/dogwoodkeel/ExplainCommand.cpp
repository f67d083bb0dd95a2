#include "ExplainCommand.h"

#include <LibExplain/ExplainReport.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>
#include <utility>

#include <gflags/gflags.h>

DEFINE_string(log, "", "log files to read, separated by commas; more may follow the id");

namespace Dogwoodkeel
{

namespace
{

void readLines(std::istream &stream, ExplainReport &report)
{
    std::string text;
    while (std::getline(stream, text)) {
        if (std::optional<LogLine> line = parseLogLine(text)) {
            report.add(*std::move(line));
        }
    }
}

bool readFile(const std::string &name, ExplainReport &report)
{
    if (name == "-") {
        readLines(std::cin, report);
        return true;
    }
    std::ifstream file(name);
    if (!file) {
        std::fprintf(stderr, "cannot read %s\n", name.c_str());
        return false;
    }
    readLines(file, report);
    return true;
}

} // namespace

ExitCode runExplain(const std::vector<std::string> &arguments)
{
    std::vector<std::string> files;
    std::istringstream listed(FLAGS_log);
    for (std::string name; std::getline(listed, name, ',');) {
        files.push_back(name);
    }
    if (!arguments.empty()) {
        files.insert(files.end(), arguments.begin() + 1, arguments.end());
    }
    if (arguments.empty() || files.empty()) {
        std::fputs(std::string(explainHelp).c_str(), stderr);
        return ExitCode::Usage;
    }
    ExplainReport report(arguments.front());
    for (const std::string &name : files) {
        if (!readFile(name, report)) {
            return ExitCode::Failure;
        }
    }
    if (!report.isKnown()) {
        std::fprintf(stderr, "no log line mentions %s\n", arguments.front().c_str());
        return ExitCode::Failure;
    }
    std::fputs(report.text().c_str(), stdout);
    return ExitCode::Success;
}

} // namespace Dogwoodkeel
