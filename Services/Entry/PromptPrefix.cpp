#include <Services/Entry/PromptPrefix.h>

#include <LibFleet/PrefixKey.h>

#include <nlohmann/json.hpp>

namespace Dogwoodkeel
{

std::uint64_t promptPrefix(const CompletionRequest &request, std::size_t bytes)
{
    using Json = nlohmann::json;
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        return 0;
    }
    // NOTE: This is the text that engines hash for their cache events (docs/operators/endpoints.md).
    if (body.contains("messages")) {
        return prefixKey(body["messages"].dump(-1, ' ', false, Json::error_handler_t::replace), bytes);
    }
    const auto prompt = body.find("prompt");
    return prompt != body.end() && prompt->is_string() ? prefixKey(prompt->get_ref<const std::string &>(), bytes) : 0;
}

} // namespace Dogwoodkeel
