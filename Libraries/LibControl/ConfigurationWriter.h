#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Findings.h>
#include <LibBase/Scheduler.h>
#include <LibControl/ConfigurationCheck.h>
#include <LibControl/ConfigurationStore.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Dogwoodkeel
{

/** What an operator wants to become the next version. */
struct ConfigurationProposal
{
    /** The version that was edited; 0 if there was none. */
    std::uint64_t edited = 0;
    /** The same in every resend of one apply, and in no other. */
    std::string nonce;
    std::string author;
    std::string reason;
    ConfigurationContent content;
    Access access = Access::MayBeOpen;
};

/** What became of a proposal. */
enum class ApplyOutcome {
    /** It is the version edited + 1, now or by an earlier send with the same nonce. */
    Accepted,
    /** Another operator's version took that number. */
    Raced,
    /** It has mistakes; nothing was written. */
    Invalid,
    /** Proved: it was not accepted, and never will be by this call. */
    NotApplied,
    /** The platform's answer was lost and could not be found out in time. A resend with the same nonce tells. */
    Unknown,
};

/** The answer to a proposal. */
struct ApplyResult
{
    ApplyOutcome outcome = ApplyOutcome::Unknown;
    /** With Accepted: the row that was written. With Raced: the row that won. */
    ConfigurationRow row;
    /** With Invalid. */
    Findings findings;
};

/**
 * Makes a proposal the next version: everything is checked, the parts are written, then the row is inserted if its
 * number is free. The platform decides between operators that race.
 *
 * Every outcome of the insert is resolved by reading the row back and comparing its nonce: an answer that was lost
 * after the insert took effect must not make the operator apply it a second time, and an insert that another operator
 * won must not be told as accepted.
 */
class ConfigurationWriter
{
public:
    using Applied = std::function<void(const ApplyResult &)>;

    struct Options
    {
        /** Largest row. */
        std::size_t rowBytes = 32768;
        /** Between two tries of a call that failed. */
        std::chrono::milliseconds retry{100};
        /** When to give up. */
        std::chrono::milliseconds timeout{10000};
        /** Tells of parts that are on the platform for sure, because an accepted version names them; may be empty. */
        std::function<bool(const std::string &key)> isStored;
    };

    ConfigurationWriter(ConfigurationStore &store, Scheduler &scheduler, const Clock &clock, Options options);
    ~ConfigurationWriter();
    ConfigurationWriter(const ConfigurationWriter &) = delete;
    ConfigurationWriter &operator=(const ConfigurationWriter &) = delete;

    /** @param applied told once */
    void apply(ConfigurationProposal proposal, Applied applied);

private:
    /** One apply on its way. */
    struct Attempt
    {
        ConfigurationRow row;
        ConfigurationPartMap parts;
        Applied applied;
        SteadyTime deadline{};
        /** Whether an insert may have taken effect, or may yet. */
        bool mayBeInserted = false;
    };
    using AttemptPointer = std::shared_ptr<Attempt>;

    void look(const AttemptPointer &attempt);
    void onPair(const AttemptPointer &attempt, const ConfigurationRows &read);
    void writeParts(const AttemptPointer &attempt);
    void insert(const AttemptPointer &attempt);
    void again(const AttemptPointer &attempt, void (ConfigurationWriter::*step)(const AttemptPointer &));
    static void finish(const AttemptPointer &attempt, ApplyOutcome outcome, ConfigurationRow row = {});

    ConfigurationStore &store;
    Scheduler &scheduler;
    const Clock &clock;
    Options options;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
