#pragma once

#include <LibHttp/HttpReply.h>
#include <LibHttp/HttpTypes.h>
#include <LibMembership/MemberView.h>
#include <Services/Entry/EntryContext.h>

namespace Dogwoodkeel
{

/**
 * GET /v1/entries: returns the addresses that a caller should use. Optional query parameters: caller, failure_domain,
 * count.
 */
class EntriesApi
{
public:
    explicit EntriesApi(EntryContext &context);

    void serve(const MemberView &view, const HttpRequest &request, HttpReply &reply) const;

private:
    EntryContext &context;
};

} // namespace Dogwoodkeel
