#pragma once

#include <LibBase/Clock.h>
#include <LibFleet/FleetState.h>
#include <LibHttp/HttpClient.h>
#include <LibMetrics/NodeMetrics.h>
#include <LibPlatform/Platform.h>
#include <LibRouting/ReplicaSelector.h>
#include <LibRouting/RetryBudget.h>
#include <LibSettings/SettingsHandle.h>
#include <LibTask/EventLoop.h>
#include <Services/Control/OperatorRequest.h>
#include <Services/Entry/Admission.h>
#include <Services/Entry/FleetWatch.h>
#include <Services/Entry/LimitSharing.h>
#include <Services/Entry/LoadNotices.h>
#include <Services/Entry/OwnerClient.h>
#include <Services/Entry/SuspectNotices.h>

#include <random>

namespace Dogwoodkeel
{

/** Holds the services that the handlers of one entry task share; all of them live on that task. */
struct EntryContext
{
    EventLoop &loop;
    const Clock &clock;
    const SettingsHandle &settings;
    SessionNumber self;
    HttpClient &http;
    OwnerClient &owners;
    ReplicaTable &replicas;
    LoadNotices &notices;
    Platform &platform;
    NodeMetrics &metrics;
    std::mt19937_64 &random;
    RetryBudget &retries;
    SuspectNotices &suspects;
    Admission &admission;
    LimitSharing &limits;
    FleetState &fleet;
    ReplicaSelector &selector;
    FleetWatch &watch;
    /** Forwards operators' requests to the control task. */
    OperatorGateway operators;
};

} // namespace Dogwoodkeel
