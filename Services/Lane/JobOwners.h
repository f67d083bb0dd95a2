#pragma once

#include <LibBase/Shards.h>
#include <LibMembership/MemberView.h>
#include <LibSettings/SettingsHandle.h>

#include <memory>
#include <utility>

namespace Dogwoodkeel
{

/** Looks up the owner of a job in this node's current view of the members. */
class JobOwners
{
public:
    explicit JobOwners(const SettingsHandle &settings)
        : settings(settings), current(std::make_shared<MemberView>(std::vector<Member>()))
    {
    }

    void setView(MemberViewPointer view)
    {
        this->current = std::move(view);
    }

    const MemberView &view() const
    {
        return *this->current;
    }

    /** @return the owner, or null if the job has none at present. */
    const Member *of(const JobId &job) const
    {
        const auto shards = static_cast<std::uint64_t>(this->settings->owner.shards);
        return this->current->ownerOf(shardOfId(job.value(), shards));
    }

private:
    const SettingsHandle &settings;
    MemberViewPointer current;
};

} // namespace Dogwoodkeel
