#pragma once

#include <LibHttp/HttpTypes.h>

#include <functional>
#include <string>

namespace Dogwoodkeel
{

/** A request of an operator, whose key was found good. */
struct OperatorRequest
{
    HttpRequest request;
    /** The tenant of the operator's key. */
    std::string operatorName;
};

using OperatorRespond = std::function<void(HttpResponse)>;

/** Takes operators' requests to the task that answers them; the answer comes back on the caller's task. */
using OperatorGateway = std::function<void(OperatorRequest, OperatorRespond)>;

} // namespace Dogwoodkeel
