#include <Services/Entry/Completion.h>

#include <LibBase/JsonDepth.h>
#include <LibFleet/EngineEvent.h>

#include <nlohmann/json.hpp>

#include <utility>

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

/** Appends a text as a JSON string. */
void appendString(std::string &json, const std::string &text)
{
    json += dump(Json(text));
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

std::optional<CompletionDelta> CompletionDelta::parse(std::string_view data)
{
    auto event = EngineEvent::parse(data);
    return event ? std::optional(CompletionDelta{std::move(event->text), std::move(event->finishReason)}) : std::nullopt;
}

std::string CompletionDelta::format(CompletionForm form, const RequestId &id, const std::string &model) const
{
    // Builds the JSON text directly: this runs for every token, and a tree of JSON values costs ten times as much.
    std::string json = R"({"id":)";
    appendString(json, id.value());
    json += R"(,"object":")";
    json += objectName(form, true);
    json += R"(","model":)";
    appendString(json, model);
    json += R"(,"choices":[{"index":0,)";
    json += form == CompletionForm::Text ? R"("text":)" : R"("delta":{"content":)";
    appendString(json, this->text);
    json += form == CompletionForm::Text ? R"(,"finish_reason":)" : R"(},"finish_reason":)";
    if (this->finishReason.empty()) {
        json += "null";
    } else {
        appendString(json, this->finishReason);
    }
    json += "}]}";
    return json;
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

} // namespace Dogwoodkeel
