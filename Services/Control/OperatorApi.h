#pragma once

#include <LibMembership/MemberView.h>
#include <LibWire/PeerClient.h>
#include <Services/Control/ConfigurationService.h>
#include <Services/Control/OperatorRequest.h>
#include <Services/Control/StatusBoard.h>

#include <functional>
#include <string>

namespace Dogwoodkeel
{

/** Answers the HTTP calls of operators about the configuration and the status, on the control task. */
class OperatorApi
{
public:
    /** @param members returns the known nodes, including this one */
    OperatorApi(ConfigurationService &configuration,
                const StatusBoard &board,
                PeerClient &peers,
                std::function<std::vector<Member>()> members);

    void serve(const OperatorRequest &request, const OperatorRespond &respond);

private:
    /** GET /v1/config[?version=N] */
    void show(const HttpRequest &request, const OperatorRespond &respond);
    /** GET /v1/config/log[?limit=N] */
    void log(const HttpRequest &request, const OperatorRespond &respond);
    /** POST /v1/config/check */
    static void check(const HttpRequest &request, const OperatorRespond &respond);
    /** POST /v1/config */
    void apply(const OperatorRequest &request, const OperatorRespond &respond);
    /** POST /v1/config/revert */
    void revert(const OperatorRequest &request, const OperatorRespond &respond);
    void propose(ConfigurationProposal proposal, const OperatorRespond &respond);
    void respondRaced(const ConfigurationRow &winner, const OperatorRespond &respond);
    /** GET /v1/config/nodes */
    void nodes(const OperatorRespond &respond);
    /** GET /v1/status */
    void status(const OperatorRespond &respond);
    void readVersion(std::uint64_t number, std::function<void(const ConfigurationRow *, const ConfigurationContent *)> done);

    ConfigurationService &configuration;
    const StatusBoard &board;
    PeerClient &peers;
    std::function<std::vector<Member>()> members;
};

} // namespace Dogwoodkeel
