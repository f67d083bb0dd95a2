#pragma once

#include <LibHttp/HttpTypes.h>

#include <string>

#include <gflags/gflags.h>

DECLARE_string(node);
DECLARE_string(key_file);

namespace Dogwoodkeel
{

/** Calls a node as an operator, waiting for the answer. The node and the key come from --node and --key_file. */
class OperatorClient
{
public:
    /** @return the answer; status 0 if there was none */
    static HttpResponse call(const std::string &method, const std::string &target, const std::string &body = {});
};

} // namespace Dogwoodkeel
