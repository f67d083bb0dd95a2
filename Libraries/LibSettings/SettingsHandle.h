#pragma once

#include <LibSettings/Generated/Settings.h>

#include <memory>
#include <utility>

namespace Dogwoodkeel
{

/** Immutable settings that tasks share. */
using SettingsPointer = std::shared_ptr<const Settings>;

/**
 * Holds the settings in force on one task. A message to the task replaces them between two iterations of its event loop,
 * so that a handler sees one configuration from start to end.
 *
 * NOTE: Access settings through the handle each time, and keep no reference into them across iterations of the loop.
 */
class SettingsHandle
{
public:
    explicit SettingsHandle(SettingsPointer settings) : pointer(std::move(settings))
    {
    }

    SettingsHandle(const SettingsHandle &) = delete;
    SettingsHandle &operator=(const SettingsHandle &) = delete;

    const Settings &current() const
    {
        return *this->pointer;
    }

    const Settings *operator->() const
    {
        return this->pointer.get();
    }

    /** @return the settings in force now; the caller may keep them beyond a replacement. */
    const SettingsPointer &snapshot() const
    {
        return this->pointer;
    }

    /** Puts other settings into force. */
    void replace(SettingsPointer settings)
    {
        this->pointer = std::move(settings);
    }

private:
    SettingsPointer pointer;
};

} // namespace Dogwoodkeel
