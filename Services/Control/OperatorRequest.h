#pragma once

#include <LibHttp/HttpTypes.h>

#include <functional>
#include <string>

namespace Dogwoodkeel
{

/** A request of an operator whose key was accepted. */
struct OperatorRequest
{
    HttpRequest request;
    /** The tenant of the operator's key. */
    std::string operatorName;
};

using OperatorRespond = std::function<void(HttpResponse)>;

/** Forwards operators' requests to the task that answers them. The response is delivered on the caller's task. */
using OperatorGateway = std::function<void(OperatorRequest, OperatorRespond)>;

} // namespace Dogwoodkeel
