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

/** An operator's proposal for the next version. */
struct ConfigurationProposal
{
    /** Number of the version that was edited; 0 if there was none. */
    std::uint64_t edited = 0;
    /** Identifies one apply: the same in all its resends, different in every other apply. */
    std::string nonce;
    std::string author;
    std::string reason;
    ConfigurationContent content;
    Access access = Access::MayBeOpen;
};

/** Outcome of a proposal. */
enum class ApplyOutcome {
    /** The proposal is version edited + 1, by this call or by an earlier one with the same nonce. */
    Accepted,
    /** Another operator's version has that number. */
    Raced,
    /** The proposal has errors; nothing was written. */
    Invalid,
    /** It is certain that this call did not apply the proposal and never will. */
    NotApplied,
    /** A response of the platform was lost and the outcome was not resolved in time; a resend with the same nonce resolves it. */
    Unknown,
};

/** Outcome of a proposal, with its details. */
struct ApplyResult
{
    ApplyOutcome outcome = ApplyOutcome::Unknown;
    /** With Accepted: the row that was written. With Raced: the other operator's row. */
    ConfigurationRow row;
    /** With Invalid: the errors. */
    Findings findings;
};

/**
 * Makes a proposal the next version: checks the content, writes the parts, then inserts the row if its number is free.
 * The platform's insert-if-absent decides between concurrent operators.
 *
 * An insert that did not succeed is resolved by reading the row back and comparing its nonce. An operator must not have to
 * apply a change again because the response to a successful insert was lost, and a proposal that lost against another
 * operator's must not be reported as accepted.
 */
class ConfigurationWriter
{
public:
    using Applied = std::function<void(const ApplyResult &)>;

    struct Options
    {
        /** Max size of a row. */
        std::size_t rowBytes = 32768;
        /** Delay before a failed call is retried. */
        std::chrono::milliseconds retry{100};
        /** Time after which failed calls are no longer retried. */
        std::chrono::milliseconds timeout{10000};
        /** Returns whether a part is certainly on the platform, because an accepted version refers to it; may be empty. */
        std::function<bool(const std::string &key)> isStored;
    };

    ConfigurationWriter(ConfigurationStore &store, Scheduler &scheduler, const Clock &clock, Options options);
    ~ConfigurationWriter();
    ConfigurationWriter(const ConfigurationWriter &) = delete;
    ConfigurationWriter &operator=(const ConfigurationWriter &) = delete;

    /** Applies a proposal. @param applied called once with the outcome */
    void apply(ConfigurationProposal proposal, Applied applied);

private:
    /** One apply in progress. */
    struct Attempt
    {
        ConfigurationRow row;
        ConfigurationPartMap parts;
        Applied applied;
        SteadyTime deadline{};
        /** Whether an insert may have taken effect or may still do so. */
        bool mayBeInserted = false;
    };
    using AttemptPointer = std::shared_ptr<Attempt>;

    void readRow(const AttemptPointer &attempt);
    void onRowsRead(const AttemptPointer &attempt, const ConfigurationRows &read);
    void writeParts(const AttemptPointer &attempt);
    void insert(const AttemptPointer &attempt);
    void retryLater(const AttemptPointer &attempt, void (ConfigurationWriter::*step)(const AttemptPointer &));
    static void finish(const AttemptPointer &attempt, ApplyOutcome outcome, ConfigurationRow row = {});

    ConfigurationStore &store;
    Scheduler &scheduler;
    const Clock &clock;
    Options options;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
