#pragma once

#include <LibWire/Generated/Messages.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Dogwoodkeel
{

/** Which of the two forms of a completion a caller uses. */
enum class CompletionForm {
    Chat,
    Text,
};

/** What a caller asked a model for. */
struct CompletionRequest
{
    CompletionForm form = CompletionForm::Chat;
    std::string model;
    /** Whether the answer is to come as a stream. */
    bool isStream = false;
    /** The request's JSON. */
    std::string body;

    /**
     * @param form by the path it came to
     * @param body the HTTP body
     * @return the request, or nothing if it is no JSON object with a model and a prompt or messages
     */
    static std::optional<CompletionRequest> parse(CompletionForm form, const std::string &body);

    /**
     * @param text what an engine has already answered, to go on behind it
     * @param tokens how many tokens that was
     * @return the body to send to an engine: always as a stream
     */
    std::string engineBody(const std::string &text, std::uint32_t tokens) const;
};

/** One event of an engine's stream. */
struct CompletionDelta
{
    std::string text;
    /** Empty but in the last event. */
    std::string finishReason;

    /** @return what an event, or a whole unstreamed answer, says; nothing if the data is neither. */
    static std::optional<CompletionDelta> parse(std::string_view data);

    /** @return the event's data, for a caller's stream. */
    std::string format(CompletionForm form, const RequestId &id, const std::string &model) const;
};

/** A completion as far as it has come. */
struct CompletionText
{
    std::string text;
    std::uint32_t tokens = 0;
    std::string finishReason;

    void add(const CompletionDelta &delta);

    /** @return the whole answer in its unstreamed form. */
    Answer answer(const CompletionRequest &request, const RequestId &id) const;
};

} // namespace Dogwoodkeel
