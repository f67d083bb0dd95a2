#include "GatewayCommand.h"

#include "Flags.h"
#include "Signals.h"

#include <LibBase/Log.h>
#include <LibBase/SystemClock.h>
#include <LibTask/EventLoop.h>
#include <Services/Gateway/Gateway.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <memory>
#include <thread>

namespace Dogwoodkeel
{

namespace
{

/** Environment variable in which the platform passes the path of the settings file. */
constexpr const char *settingsVariable = "DOGWOODKEEL_SETTINGS";

void useSettingsOfPlatform()
{
    const char *const path = std::getenv(settingsVariable);
    if (FLAGS_settings.empty() && path != nullptr) {
        FLAGS_settings = path;
    }
}

/** Logs the errors in changed settings. Changed values take effect at the next start only. */
void checkChangedSettings()
{
    Findings findings;
    std::vector<SettingsSource> sources;
    const bool isValid = loadServeSettings(sources, findings).has_value();
    log(isValid ? LogLevel::Info : LogLevel::Error,
        "settings file read again",
        {{"good", isValid}, {"findings", findings.toString()}});
}

/** Waits until a signal requests a stop; SIGHUP checks the settings instead. */
void awaitStop(const sigset_t &signals)
{
    int signal = 0;
    while (sigwait(&signals, &signal) == 0 && signal == SIGHUP) {
        checkChangedSettings();
    }
    log(LogLevel::Info, "told to stop", {{"signal", static_cast<std::int64_t>(signal)}});
}

} // namespace

ExitCode runGateway(const std::vector<std::string> &)
{
    // Signals are blocked first, because a VM may receive a stop signal while its node still reads the settings.
    const sigset_t signals = blockSignals({SIGTERM, SIGINT, SIGHUP});
    useSettingsOfPlatform();
    Findings findings;
    std::vector<SettingsSource> sources;
    std::optional<Settings> loaded = loadServeSettings(sources, findings);
    if (!loaded) {
        std::fputs(findings.toString().c_str(), stderr);
        return ExitCode::Usage;
    }
    const auto settings = std::make_shared<const Settings>(*std::move(loaded));
    startLog(settings->node.vm, logLevelOf(settings->node.log));
    const SystemClock clock;
    try {
        EventLoop loop;
        Gateway gateway(loop, clock, settings);
        log(LogLevel::Info, "started", {{"address", settings->listen.http.toString()}});
        // NOTE: This thread is not joined: if the loop ends by an exception, there may never be a signal to end the wait, and the
        //       process has to exit at once.
        std::thread([&loop, &gateway, signals] {
            awaitStop(signals);
            loop.post([&loop, &gateway] {
                gateway.stop([&loop] {
                    loop.stop();
                });
            });
        }).detach();
        loop.run();
    } catch (const std::exception &error) {
        log(LogLevel::Error, "cannot serve", {{"error", std::string(error.what())}});
        return ExitCode::Failure;
    }
    return ExitCode::Success;
}

} // namespace Dogwoodkeel
