#pragma once

#include <LibBase/StrongType.h>

#include <cstdint>
#include <string>

namespace Dogwoodkeel
{

/** Identifies one run of a node process. Numbers only increase; 0 means no session. */
using SessionNumber = StrongType<struct SessionNumberTag, std::uint64_t>;
/** Index of a shard of the request and job ids. */
using ShardNumber = StrongType<struct ShardNumberTag, std::uint32_t>;
/** Incremented with each new owner of a shard. */
using ShardEpoch = StrongType<struct ShardEpochTag, std::uint64_t>;
/** Position of a group in a journal; the first is 1. */
using GroupNumber = StrongType<struct GroupNumberTag, std::uint64_t>;
/** Identifies a request for its whole lifetime, including resends. */
using RequestId = StrongType<struct RequestIdTag, std::string>;
/** Identifies one attempt of a request at one endpoint. */
using AttemptId = StrongType<struct AttemptIdTag, std::uint64_t>;
/** Identifies a batch job. */
using JobId = StrongType<struct JobIdTag, std::string>;
/** Name of the workspace (tenant) that a caller's API key belongs to. */
using WorkspaceName = StrongType<struct WorkspaceNameTag, std::string>;
/** Name of a failure domain, as the settings give it. */
using FailureDomain = StrongType<struct FailureDomainTag, std::string>;
/** Name of a VM, as the settings give it. */
using VmName = StrongType<struct VmNameTag, std::string>;
/** Name of an endpoint (a model replica or a plain service's replica). */
using EndpointName = StrongType<struct EndpointNameTag, std::string>;
/** Version of the software that an endpoint runs. Versions are only compared for equality. */
using SoftwareVersion = StrongType<struct SoftwareVersionTag, std::string>;

} // namespace Dogwoodkeel
