#pragma once

#include <LibBase/ManualClock.h>
#include <LibJournal/JournalKeys.h>
#include <LibWire/Codec.h>
#include <Services/Owner/OwnerService.h>
#include <Tests/Fakes/FaultyPlatform.h>

#include <memory>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** Returns a view with these sessions as live members. */
inline MemberViewPointer viewOf(const std::vector<SessionNumber> &sessions)
{
    std::vector<Member> members;
    for (const SessionNumber session : sessions) {
        Member member;
        member.session = session;
        members.push_back(member);
    }
    return std::make_shared<MemberView>(members);
}

/** An owner service with its own platform client. Several of them on one store act as separate nodes. */
struct OwnerNode
{
    OwnerNode(const std::shared_ptr<EmbeddedStore> &store,
              ManualClock &clock,
              const SettingsHandle &settings,
              SessionNumber session)
        : session(session), platform(store, clock), service(clock, clock, this->platform, settings, session)
    {
        this->service.start();
    }

    ClaimRequest claimOf(const std::string &id, std::uint64_t claim, bool isNonIdempotent = false) const
    {
        return {RequestId(id), 1, isNonIdempotent, this->session, claim, std::chrono::milliseconds(2000)};
    }

    CommitRequest commitOf(const std::string &id, const std::string &body) const
    {
        return {RequestId(id), 1, this->session, {200, "text/plain", body}};
    }

    SessionNumber session;
    FaultyPlatform platform;
    OwnerService service;
};

/** Collects the responses of a service, in order. */
template <typename Response>
struct Answers
{
    std::function<void(const Response &)> keep()
    {
        return [list = this->list](const Response &response) {
            list->push_back(response);
        };
    }

    std::size_t count() const
    {
        return this->list->size();
    }

    const Response &last() const
    {
        return this->list->back();
    }

    std::shared_ptr<std::vector<Response>> list = std::make_shared<std::vector<Response>>();
};

/** Two nodes on one store with four shards. */
struct OwnerFixture
{
    static SettingsPointer fourShards()
    {
        auto settings = std::make_shared<Settings>();
        settings->owner.shards = 4;
        return settings;
    }

    /** Gives both nodes a view with these members, and advances the clock so that they act on it. */
    void setMembers(const std::vector<SessionNumber> &members, std::chrono::milliseconds time = std::chrono::seconds(1))
    {
        this->a.service.setView(viewOf(members));
        this->b.service.setView(viewOf(members));
        this->clock.advance(time);
    }

    /** Commits a result at a node. @return the decision, or Unavailable if there is none within two seconds */
    CommitDecision commit(OwnerNode &node, const std::string &id, const std::string &body)
    {
        Answers<CommitResponse> answers;
        node.service.commit(node.commitOf(id, body), answers.keep());
        this->clock.advance(std::chrono::seconds(2));
        return answers.count() == 0 ? CommitDecision::Unavailable : answers.last().decision;
    }

    /** @return the response of a node to a claim, or Unavailable if there is none within 2.5 seconds. */
    ClaimResponse claim(OwnerNode &node, const ClaimRequest &request)
    {
        Answers<ClaimResponse> answers;
        node.service.claim(request, answers.keep());
        this->clock.advance(std::chrono::milliseconds(2500));
        return answers.count() == 0 ? ClaimResponse{ClaimDecision::Unavailable, {}} : answers.last();
    }

    /** @return the state of a request at a node, or NotOwner if there is no response within a second. */
    ResultResponse result(OwnerNode &node, const std::string &id)
    {
        Answers<ResultResponse> answers;
        node.service.result({RequestId(id)}, answers.keep());
        this->clock.advance(std::chrono::seconds(1));
        return answers.count() == 0 ? ResultResponse{RequestState::NotOwner, {}} : answers.last();
    }

    static constexpr SessionNumber first{1};
    static constexpr SessionNumber second{2};

    SettingsHandle settings{fourShards()};
    ManualClock clock;
    std::shared_ptr<EmbeddedStore> store = std::make_shared<EmbeddedStore>();
    OwnerNode a{this->store, this->clock, this->settings, first};
    OwnerNode b{this->store, this->clock, this->settings, second};
};

} // namespace Dogwoodkeel
