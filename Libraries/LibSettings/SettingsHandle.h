#pragma once

#include <LibSettings/Generated/Settings.h>

#include <memory>
#include <utility>

namespace Dogwoodkeel
{

/** Settings that are never changed once they are made, so that tasks share them. */
using SettingsPointer = std::shared_ptr<const Settings>;

/**
 * The settings in force on one task. A new configuration is swapped in by a message to the task, between two turns of
 * its loop, so that code that runs sees one configuration from its start to its end.
 *
 * NOTE: Read through the handle each time, and keep no reference into the settings across turns of the loop.
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

    /** @return what is in force now, to be kept as it is. */
    const SettingsPointer &snapshot() const
    {
        return this->pointer;
    }

    /** Put other settings into force. */
    void replace(SettingsPointer settings)
    {
        this->pointer = std::move(settings);
    }

private:
    SettingsPointer pointer;
};

} // namespace Dogwoodkeel
