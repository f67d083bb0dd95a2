#include <Services/Entry/JobSubmission.h>

#include <Services/Entry/ApiErrors.h>

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
constexpr std::chrono::seconds patience{30};
constexpr std::chrono::seconds comeBack{5};

} // namespace

JobSubmission::JobSubmission(EntryContext &context,
                             JobRecord job,
                             std::vector<std::string> objects,
                             std::shared_ptr<HttpReply> reply)
    : context(context)
    , job(std::move(job))
    , objects(std::move(objects))
    , reply(std::move(reply))
    , deadline(context.clock.now() + patience)
{
}

void JobSubmission::start()
{
    this->putNext();
}

void JobSubmission::putNext()
{
    if (this->stored == this->objects.size()) {
        this->hand();
        return;
    }
    if (this->context.clock.now() >= this->deadline) {
        this->refuse();
        return;
    }
    this->context.platform.objects().putIfAbsent(this->job.itemObjects[this->stored],
                                                 this->objects[this->stored],
                                                 [self = this->shared_from_this()](WriteOutcome outcome) {
                                                     // Refused: an earlier submission stored the same items there.
                                                     if (outcome == WriteOutcome::Done || outcome == WriteOutcome::Refused) {
                                                         ++self->stored;
                                                         self->putNext();
                                                         return;
                                                     }
                                                     self->context.loop.schedule(retryDelay, [self] {
                                                         self->putNext();
                                                     });
                                                 });
}

void JobSubmission::hand()
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
            if (!response) {
                self->refuse();
                return;
            }
            if (response->decision == SubmitDecision::Mismatch) {
                self->reply->send(refusalResponse(
                    {statusUnprocessable, "id_reused", "this Idempotency-Key was used for another job", RunState::NotRun, {}}));
                return;
            }
            const nlohmann::json body{{"id", self->job.jobId.value()}, {"items", self->job.itemCount}, {"status", "running"}};
            self->reply->send(jsonResponse(statusAccepted, body.dump() + '\n'));
        });
}

void JobSubmission::refuse()
{
    // The journal may have the job all the same, if its owner was lost with its answer: a resend finds it.
    this->reply->send(refusalResponse({statusUnavailable,
                                       "not_stored",
                                       "the job could not be made durable; submit it again with the same Idempotency-Key",
                                       RunState::Unknown,
                                       comeBack}));
}

} // namespace Dogwoodkeel
