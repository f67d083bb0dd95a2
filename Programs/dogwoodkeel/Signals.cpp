#include "Signals.h"

namespace Dogwoodkeel
{

sigset_t blockSignals(std::initializer_list<int> signals)
{
    sigset_t blocked{};
    sigemptyset(&blocked);
    for (const int signal : signals) {
        sigaddset(&blocked, signal);
    }
    pthread_sigmask(SIG_BLOCK, &blocked, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return blocked;
}

LogLevel logLevelOf(LogDetail detail)
{
    switch (detail) {
    case LogDetail::Debug:
        return LogLevel::Debug;
    case LogDetail::Info:
        return LogLevel::Info;
    case LogDetail::Warning:
        return LogLevel::Warning;
    case LogDetail::Error:
        return LogLevel::Error;
    }
    return LogLevel::Info;
}

} // namespace Dogwoodkeel
