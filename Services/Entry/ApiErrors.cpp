#include <Services/Entry/ApiErrors.h>

#include <nlohmann/json.hpp>

#include <utility>

namespace Dogwoodkeel
{

HttpResponse refusalResponse(const Refusal &refusal)
{
    const nlohmann::json body{{"error",
                               {{"reason", refusal.reason},
                                {"message", refusal.message},
                                {"run", refusal.run == RunState::NotRun ? "not_run" : "unknown"}}}};
    HttpResponse response
        = jsonResponse(refusal.status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + '\n');
    if (refusal.retryAfter) {
        response.headers["Retry-After"] = std::to_string(refusal.retryAfter->count());
    }
    return response;
}

HttpResponse notReadyResponse(const std::string &waitingFor)
{
    constexpr int statusUnavailable = 503;
    const nlohmann::json body{{"status", "not ready"}, {"waiting_for", waitingFor}};
    return jsonResponse(statusUnavailable, body.dump() + '\n');
}

HttpResponse jsonResponse(int status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace Dogwoodkeel
