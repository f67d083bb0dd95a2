#pragma once

#include <LibHttp/HttpServer.h>
#include <LibHttp/ServerSentEvents.h>
#include <LibPlatform/EmbeddedPlatform.h>
#include <LibWire/PeerServer.h>
#include <Services/Entry/EntryTask.h>
#include <Tests/Fakes/ScriptedEndpoint.h>
#include <Tests/Fakes/ShiftedClock.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** An owner whose decisions a test sets, and which records the requests it receives. */
class ScriptedOwner
{
public:
    explicit ScriptedOwner(EventLoop &loop) : server(loop, {"127.0.0.1", 0}, {MessageKey(""), 1048576})
    {
        this->server.handle<ClaimRequest>([this](const ClaimRequest &request, const auto &respond) {
            this->claims.push_back(request);
            this->onClaim(request, respond);
        });
        this->server.handle<CommitRequest>([this](const CommitRequest &request, const auto &respond) {
            this->commits.push_back(request);
            this->onCommit(request, respond);
        });
        this->server.handle<ReleaseRequest>([this](const ReleaseRequest &request, const auto &respond) {
            this->releases.push_back(request);
            this->onRelease(request, respond);
        });
        this->server.handle<SubmitJobRequest>([this](const SubmitJobRequest &, const auto &respond) {
            this->onSubmit(respond);
        });
    }

    std::function<void(const PeerServer::Respond<SubmitJobResponse> &)> onSubmit = [](const auto &respond) {
        respond({SubmitDecision::Accepted});
    };

    std::function<void(const ReleaseRequest &, const PeerServer::Respond<ReleaseResponse> &)> onRelease
        = [](const ReleaseRequest &, const auto &respond) {
              respond({true, true});
          };
    std::function<void(const ClaimRequest &, const PeerServer::Respond<ClaimResponse> &)> onClaim
        = [](const ClaimRequest &, const auto &respond) {
              respond({ClaimDecision::Run, {}});
          };
    std::function<void(const CommitRequest &, const PeerServer::Respond<CommitResponse> &)> onCommit
        = [](const CommitRequest &, const auto &respond) {
              respond({CommitDecision::Committed, {}});
          };

    std::vector<ClaimRequest> claims;
    std::vector<CommitRequest> commits;
    std::vector<ReleaseRequest> releases;
    PeerServer server;
};

/** An entry task with scripted endpoints and a scripted owner, all on one event loop. */
class EntryBench
{
public:
    struct Answer
    {
        bool hasEnded = false;
        ExchangeEnd end = ExchangeEnd::Incomplete;
        int status = 0;
        HttpHeaders headers;
        std::string body;

        /** @return the concatenated text of all events of a stream. */
        std::string text() const
        {
            std::string text;
            ServerSentEvents events(1048576);
            for (const std::string &event : events.feed(this->body)) {
                const auto json = nlohmann::json::parse(event, nullptr, false);
                if (json.is_object() && json.contains("choices")) {
                    text += json["choices"][0]["text"].get<std::string>();
                }
            }
            return text;
        }

        /** @return a member of the error in a refusal. */
        std::string error(const char *member) const
        {
            const auto json = nlohmann::json::parse(this->body, nullptr, false);
            return json.is_object() && json.contains("error") ? json["error"][member].get<std::string>() : std::string();
        }
    };

    using AnswerPointer = std::shared_ptr<Answer>;

    explicit EntryBench(std::size_t endpointCount)
    {
        this->settings.listen.http = {"127.0.0.1", 0};
        this->settings.listen.lane = {"127.0.0.1", 0};
        this->settings.node.failureDomain = "one";
        this->settings.entry.connectTimeout = std::chrono::milliseconds(200);
        this->settings.entry.firstByteTimeout = std::chrono::milliseconds(300);
        this->settings.entry.progressTimeout = std::chrono::milliseconds(60);
        this->settings.tenants.push_back({.name = "t"});
        ServiceSettings service;
        service.name = "s";
        service.firstByteTimeout = std::chrono::milliseconds(60);
        this->settings.services.push_back(service);
        for (std::size_t i = 0; i < endpointCount; ++i) {
            this->addEndpoint("m" + std::to_string(i), "domain" + std::to_string(i), true);
        }
    }

    ScriptedEndpoint &addEndpoint(const std::string &name, const std::string &domain, bool isModel)
    {
        this->endpoints.push_back(std::make_unique<ScriptedEndpoint>(this->loop, [](const auto &) {}));
        EndpointSettings endpoint;
        endpoint.name = name;
        endpoint.address = this->endpoints.back()->address();
        endpoint.failureDomain = domain;
        (isModel ? endpoint.model : endpoint.service) = isModel ? "m" : "s";
        this->settings.endpoints.push_back(endpoint);
        return *this->endpoints.back();
    }

    void start()
    {
        this->entry = std::make_unique<EntryTask>(this->loop,
                                                  this->clock,
                                                  std::make_shared<const Settings>(this->settings),
                                                  SessionNumber(1),
                                                  PeerSecurity{MessageKey(""), 1048576},
                                                  std::nullopt,
                                                  this->makePlatform,
                                                  this->metrics,
                                                  this->operators);
        Member member;
        member.session = SessionNumber(1);
        member.owner = this->owner.server.address();
        this->entry->setView(std::make_shared<MemberView>(std::vector<Member>{member}));
    }

    AnswerPointer send(const HttpRequest &request)
    {
        auto answer = std::make_shared<Answer>();
        this->lastExchange = this->client.start(this->entry->address(),
                                                request,
                                                ConnectionChoice::Fresh,
                                                {.onHeaders =
                                                     [answer](int status, const HttpHeaders &headers) {
                                                         answer->status = status;
                                                         answer->headers = headers;
                                                     },
                                                 .onData =
                                                     [answer](std::string_view data) {
                                                         answer->body.append(data);
                                                     },
                                                 .onEnd =
                                                     [answer](ExchangeEnd end) {
                                                         answer->end = end;
                                                         answer->hasEnded = true;
                                                     }});
        return answer;
    }

    AnswerPointer complete(const std::string &prompt, HttpHeaders headers = {}, bool isStream = true)
    {
        const nlohmann::json body{{"model", "m"}, {"prompt", prompt}, {"stream", isStream}};
        return this->send({.method = "POST", .path = "/v1/completions", .headers = std::move(headers), .body = body.dump()});
    }

    /** Runs the loop until a condition holds; fails the test if it does not hold within 20 seconds. */
    void until(const std::function<bool()> &condition)
    {
        bool isLate = false;
        const TimerId guard = this->loop.schedule(std::chrono::seconds(20), [&] {
            isLate = true;
            this->loop.stop();
        });
        std::function<void()> poll = [&] {
            if (condition()) {
                this->loop.stop();
            } else if (!isLate) {
                this->loop.schedule(std::chrono::milliseconds(1), poll);
            }
        };
        this->loop.post(poll);
        this->loop.run();
        this->loop.cancel(guard);
        REQUIRE_FALSE(isLate);
    }

    void untilEnd(const AnswerPointer &answer)
    {
        this->until([&] {
            return answer->hasEnded;
        });
    }

    EventLoop loop;
    ShiftedClock clock;
    Settings settings;
    NodeMetrics metrics;
    OperatorGateway operators;
    std::function<std::unique_ptr<Platform>(EventLoop &)> makePlatform = [](EventLoop &eventLoop) {
        return std::make_unique<EmbeddedPlatform>(std::make_shared<EmbeddedStore>(), eventLoop);
    };
    ScriptedOwner owner{loop};
    std::vector<std::unique_ptr<ScriptedEndpoint>> endpoints;
    HttpClient client{loop};
    HttpClient::ExchangeId lastExchange = 0;
    std::unique_ptr<EntryTask> entry;
};

} // namespace Dogwoodkeel
