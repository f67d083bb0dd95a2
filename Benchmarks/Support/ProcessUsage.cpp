#include <Benchmarks/Support/ProcessUsage.h>

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace Dogwoodkeel
{

namespace
{

/** Fields of /proc/PID/stat after the program's name, counted from 0. */
constexpr int userTicksField = 11;
constexpr int systemTicksField = 12;
constexpr int residentPagesField = 21;

} // namespace

ProcessUsage ProcessUsage::of(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string line;
    std::getline(file, line);
    const std::size_t nameEnd = line.rfind(')');
    if (nameEnd == std::string::npos) {
        return {};
    }
    std::istringstream fields(line.substr(nameEnd + 1));
    ProcessUsage usage;
    std::uint64_t ticks = 0;
    std::string field;
    for (int number = 0; fields >> field; ++number) {
        if (number == userTicksField || number == systemTicksField) {
            ticks += std::stoull(field);
        }
        if (number == residentPagesField) {
            usage.memoryBytes = std::stoull(field) * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
        }
    }
    const auto ticksPerSecond = static_cast<std::uint64_t>(sysconf(_SC_CLK_TCK));
    usage.processorTime = std::chrono::microseconds(ticks * 1'000'000 / ticksPerSecond);
    return usage;
}

} // namespace Dogwoodkeel
