#pragma once

#include <LibHttp/HttpReply.h>
#include <LibHttp/HttpTypes.h>
#include <LibMembership/MemberView.h>
#include <Services/Entry/EntryContext.h>

namespace Dogwoodkeel
{

/** GET /v1/entries: which addresses a caller is to use. Query: caller, failure_domain, count; all may be left out. */
class EntriesApi
{
public:
    explicit EntriesApi(EntryContext &context);

    void serve(const MemberView &view, const HttpRequest &request, HttpReply &reply) const;

private:
    EntryContext &context;
};

} // namespace Dogwoodkeel
