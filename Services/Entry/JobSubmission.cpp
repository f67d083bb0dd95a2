#include <Services/Entry/JobSubmission.h>

#include <Services/Entry/ApiErrors.h>
#include <Services/Entry/CustomIds.h>

#include <nlohmann/json.hpp>

#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr int statusAccepted = 202;
constexpr int statusUnprocessable = 422;
constexpr int statusUnavailable = 503;
constexpr std::chrono::milliseconds retryDelay{200};
constexpr std::chrono::seconds timeout{30};
constexpr std::chrono::seconds retryAfter{5};

} // namespace

JobSubmission::JobSubmission(EntryContext &context,
                             JobRecord job,
                             std::vector<std::string> idObjects,
                             std::shared_ptr<HttpReply> reply)
    : context(context)
    , job(std::move(job))
    , idObjects(std::move(idObjects))
    , reply(std::move(reply))
    , deadline(context.clock.now() + timeout)
{
}

void JobSubmission::start()
{
    this->context.owners.call<SubmitJobRequest>(
        this->job.jobId.value(),
        SubmitJobRequest{this->job},
        std::chrono::milliseconds(0),
        this->deadline,
        [](const SubmitJobResponse &response) {
            return response.decision == SubmitDecision::Accepted || response.decision == SubmitDecision::Mismatch;
        },
        [self = this->shared_from_this()](const std::optional<SubmitJobResponse> &response) {
            self->onDecision(response ? response->decision : SubmitDecision::Unavailable);
        });
}

void JobSubmission::onDecision(SubmitDecision decision)
{
    if (decision == SubmitDecision::Mismatch) {
        this->context.metrics.countAnswer("job", "id_reused");
        this->reply->send(refusalResponse(
            {statusUnprocessable, "id_reused", "this Idempotency-Key was used for another job", RunState::NotRun, {}}));
        return;
    }
    if (decision != SubmitDecision::Accepted) {
        this->refuse();
        return;
    }
    if (this->idObjects.empty()) {
        this->accept();
        return;
    }
    this->putIds();
}

void JobSubmission::putIds()
{
    // Runs only after the owner accepted the job: of two jobs with the same key and different items, the rejected one
    // must not store its ids for the other. If this node fails in between, a resend of the job stores the manifest.
    this->context.platform.objects().putIfAbsent(CustomIds::keyOf(this->job.jobId),
                                                 CustomIds::manifest(this->job.itemsPerObject, this->idObjects),
                                                 [self = this->shared_from_this()](WriteOutcome outcome) {
                                                     if (outcome == WriteOutcome::Done || outcome == WriteOutcome::Refused) {
                                                         self->accept();
                                                         return;
                                                     }
                                                     if (self->context.clock.now() >= self->deadline) {
                                                         self->refuse();
                                                         return;
                                                     }
                                                     self->context.loop.schedule(retryDelay, [self] {
                                                         self->putIds();
                                                     });
                                                 });
}

void JobSubmission::accept()
{
    this->context.metrics.countAnswer("job", "accepted");
    const nlohmann::json body{{"id", this->job.jobId.value()}, {"items", this->job.itemCount}, {"status", "running"}};
    this->reply->send(jsonResponse(statusAccepted, body.dump() + '\n'));
}

void JobSubmission::refuse()
{
    // The job may be journalled nevertheless, if the owner failed before it answered: a resend finds the job.
    this->context.metrics.countAnswer("job", "not_journalled");
    this->reply->send(refusalResponse({statusUnavailable,
                                       "not_journalled",
                                       "the job could not be made durable; submit it again with the same Idempotency-Key",
                                       RunState::Unknown,
                                       retryAfter}));
}

} // namespace Dogwoodkeel
