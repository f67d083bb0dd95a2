#pragma once

#include <LibHttp/HttpTypes.h>

#include <string>

#include <gflags/gflags.h>

DECLARE_string(node);
DECLARE_string(key_file);

namespace Dogwoodkeel
{

/** Sends requests of an operator to a node and waits for the response. --node and --key_file give the node and the key. */
class OperatorClient
{
public:
    /** @return the response; its status is 0 and its body says why if there was none */
    static HttpResponse call(const std::string &method, const std::string &target, const std::string &body = {});
};

} // namespace Dogwoodkeel
