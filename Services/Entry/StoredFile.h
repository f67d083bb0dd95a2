#pragma once

#include <Services/Entry/JobUpload.h>

#include <optional>
#include <string>
#include <string_view>

/** An uploaded file of items from which jobs are made, stored as an object that lists the objects with the items. */
namespace Dogwoodkeel::StoredFile
{

/** @return the file's id, a hash of its tenant and content, so that a file uploaded again gets the same id. */
std::string idOf(const WorkspaceName &tenant, const StoredItems &items);

/** @return key of the file's object. */
std::string keyOf(std::string_view id);

std::string encode(const WorkspaceName &tenant, const StoredItems &items);

/** @return the items, or nothing if the content is not a file of this tenant. */
std::optional<StoredItems> decode(const WorkspaceName &tenant, std::string_view content);

} // namespace Dogwoodkeel::StoredFile
