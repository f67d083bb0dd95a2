#include "ServeCommand.h"

#include "Flags.h"
#include "Node.h"
#include "Signals.h"

#include <LibBase/Log.h>
#include <LibBase/SystemClock.h>
#include <LibSettings/SettingsLoader.h>

#include <csignal>
#include <cstdio>
#include <exception>
#include <memory>
#include <sstream>
#include <thread>

namespace Dogwoodkeel
{

namespace
{

/** Waits for a second signal during a planned stop; it skips the wait for entry answers to expire. */
void skipEntryWaitAtSignal(Node &node, const sigset_t &signals, const std::stop_token &stopped)
{
    constexpr timespec pollInterval{0, 100'000'000};
    while (!stopped.stop_requested()) {
        if (sigtimedwait(&signals, nullptr, &pollInterval) > 0) {
            log(LogLevel::Warning, "told to stop again: not waiting for entry answers to expire");
            node.skipEntryWait();
            return;
        }
    }
}

} // namespace

ExitCode runServe(const std::vector<std::string> &)
{
    Findings findings;
    std::vector<SettingsSource> sources;
    std::optional<Settings> settings = loadServeSettings(sources, findings);
    if (!settings) {
        std::fputs(findings.toString().c_str(), stderr);
        return ExitCode::Usage;
    }
    const sigset_t signals = blockSignals({SIGTERM, SIGINT});
    startLog(settings->node.vm, logLevelOf(settings->node.log));
    const SystemClock clock;
    try {
        Node node(clock, std::make_shared<const Settings>(*std::move(settings)), std::move(sources));
        node.start();
        log(LogLevel::Info, "serving", {{"address", node.httpAddress().toString()}});
        int signal = 0;
        sigwait(&signals, &signal);
        const std::jthread signalWatcher([&node, &signals](const std::stop_token &stopped) {
            skipEntryWaitAtSignal(node, signals, stopped);
        });
        node.stop();
    } catch (const std::exception &error) {
        log(LogLevel::Error, "cannot serve", {{"error", std::string(error.what())}});
        return ExitCode::Failure;
    }
    return ExitCode::Success;
}

} // namespace Dogwoodkeel
