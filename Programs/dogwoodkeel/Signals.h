#pragma once

#include <LibBase/Log.h>
#include <LibSettings/Generated/Settings.h>

#include <csignal>
#include <initializer_list>

namespace Dogwoodkeel
{

/**
 * Blocks signals in this thread and all that it starts, so that one place waits for them, and lets writes to closed
 * connections fail instead of ending the process.
 * @return the signals, for sigwait
 */
sigset_t blockSignals(std::initializer_list<int> signals);

/** @return the level that the settings ask for. */
LogLevel logLevelOf(LogDetail detail);

} // namespace Dogwoodkeel
