#pragma once

#include <LibBase/Log.h>
#include <LibSettings/Generated/Settings.h>

#include <csignal>
#include <initializer_list>

namespace Dogwoodkeel
{

/**
 * Blocks signals in this thread and in all threads that it starts, so that one thread can wait for them with sigwait().
 * Ignores SIGPIPE, so that writes to closed connections fail instead of ending the process.
 * @return the blocked signals, for sigwait()
 */
sigset_t blockSignals(std::initializer_list<int> signals);

/** @return the log level for a value of the settings. */
LogLevel logLevelOf(LogDetail detail);

} // namespace Dogwoodkeel
