#include <Services/Entry/Completion.h>

#include <LibBase/JsonDepth.h>

#include <nlohmann/json.hpp>

namespace Dogwoodkeel
{

namespace
{

using Json = nlohmann::json;

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string stringAt(const Json &json, const char *key)
{
    const auto found = json.find(key);
    return found != json.end() && found->is_string() ? found->get<std::string>() : std::string();
}

const char *objectName(CompletionForm form, bool isDelta)
{
    if (form == CompletionForm::Text) {
        return "text_completion";
    }
    return isDelta ? "chat.completion.chunk" : "chat.completion";
}

/** The first choice of an answer or event, or null. */
const Json *firstChoice(const Json &json)
{
    if (!json.is_object() || !json.contains("choices")) {
        return nullptr;
    }
    const Json &choices = json["choices"];
    const bool hasOne = choices.is_array() && !choices.empty() && choices[0].is_object();
    return hasOne ? &choices[0] : nullptr;
}

CompletionDelta deltaOf(CompletionForm form, const Json &choice, const char *part)
{
    CompletionDelta delta;
    delta.finishReason = stringAt(choice, "finish_reason");
    if (form == CompletionForm::Text) {
        delta.text = stringAt(choice, "text");
    } else if (choice.contains(part) && choice[part].is_object()) {
        delta.text = stringAt(choice[part], "content");
    }
    return delta;
}

} // namespace

std::optional<CompletionRequest> CompletionRequest::parse(CompletionForm form, const std::string &body)
{
    if (isNestedTooDeep(body)) {
        return std::nullopt;
    }
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return std::nullopt;
    }
    const char *const input = form == CompletionForm::Chat ? "messages" : "prompt";
    CompletionRequest request{form, stringAt(json, "model"), false, body};
    if (request.model.empty() || !json.contains(input)) {
        return std::nullopt;
    }
    const auto stream = json.find("stream");
    if (stream != json.end() && !stream->is_boolean()) {
        return std::nullopt;
    }
    request.isStream = stream != json.end() && stream->get<bool>();
    return request;
}

std::string CompletionRequest::engineBody(const std::string &text, std::uint32_t tokens) const
{
    Json json = Json::parse(this->body);
    json["stream"] = true;
    if (tokens > 0) {
        json["resume"] = {{"text", text}, {"tokens", tokens}};
    }
    return dump(json);
}

std::optional<CompletionDelta> CompletionDelta::parse(CompletionForm form, std::string_view data)
{
    const Json json = Json::parse(data, nullptr, false);
    const Json *const choice = firstChoice(json);
    return choice != nullptr ? std::optional(deltaOf(form, *choice, "delta")) : std::nullopt;
}

std::string CompletionDelta::format(CompletionForm form, const RequestId &id, const std::string &model) const
{
    Json choice{{"index", 0}, {"finish_reason", this->finishReason.empty() ? Json() : Json(this->finishReason)}};
    if (form == CompletionForm::Text) {
        choice["text"] = this->text;
    } else {
        choice["delta"] = {{"content", this->text}};
    }
    return dump({{"id", id.value()}, {"object", objectName(form, true)}, {"model", model}, {"choices", Json::array({choice})}});
}

void CompletionText::add(const CompletionDelta &delta)
{
    if (!delta.text.empty()) {
        this->text += delta.text;
        ++this->tokens;
    }
    if (!delta.finishReason.empty()) {
        this->finishReason = delta.finishReason;
    }
}

Answer CompletionText::answer(const CompletionRequest &request, const RequestId &id) const
{
    Json choice{{"index", 0}, {"finish_reason", this->finishReason}};
    if (request.form == CompletionForm::Text) {
        choice["text"] = this->text;
    } else {
        choice["message"] = {{"role", "assistant"}, {"content", this->text}};
    }
    const Json body{{"id", id.value()},
                    {"object", objectName(request.form, false)},
                    {"model", request.model},
                    {"choices", Json::array({choice})},
                    {"usage", {{"completion_tokens", this->tokens}}}};
    return {200, "application/json", dump(body) + '\n'};
}

std::optional<CompletionDelta> deltaOfAnswer(CompletionForm form, const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    const Json *const choice = firstChoice(json);
    return choice != nullptr ? std::optional(deltaOf(form, *choice, "message")) : std::nullopt;
}

} // namespace Dogwoodkeel
