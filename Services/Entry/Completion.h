#pragma once

#include <LibWire/Generated/Messages.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Dogwoodkeel
{

/** The API form of a completion: chat or plain text. */
enum class CompletionForm {
    Chat,
    Text,
};

/** A completion requested by a caller. */
struct CompletionRequest
{
    CompletionForm form = CompletionForm::Chat;
    std::string model;
    /** Whether the caller requested a streamed answer. */
    bool isStream = false;
    /** The request's JSON. */
    std::string body;

    /**
     * @param form the form that the request path stands for
     * @param body the HTTP body
     * @return the request, or nothing if the body is not a JSON object with a model and a prompt or messages, is nested too
     *         deep, or has a "stream" that is not a boolean
     */
    static std::optional<CompletionRequest> parse(CompletionForm form, const std::string &body);

    /**
     * @param text the text generated until now, which the engine is to continue
     * @param tokens number of tokens in the text
     * @return the body to send to an engine; it always requests a stream
     */
    std::string engineBody(const std::string &text, std::uint32_t tokens) const;
};

/** One event of an engine's stream. */
struct CompletionDelta
{
    std::string text;
    /** Empty in all events except the last. */
    std::string finishReason;

    /** @return the content of an event or of a complete unstreamed answer, or nothing if the data is neither. */
    static std::optional<CompletionDelta> parse(std::string_view data);

    /** @return the data of an event in the stream to a caller. */
    std::string format(CompletionForm form, const RequestId &id, const std::string &model) const;
};

/** The text of a completion generated until now. */
struct CompletionText
{
    std::string text;
    std::uint32_t tokens = 0;
    std::string finishReason;

    void add(const CompletionDelta &delta);

    /** @return the complete answer in its unstreamed form. */
    Answer answer(const CompletionRequest &request, const RequestId &id) const;
};

} // namespace Dogwoodkeel
