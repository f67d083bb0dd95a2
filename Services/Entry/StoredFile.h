#pragma once

#include <Services/Entry/JobUpload.h>

#include <optional>
#include <string>
#include <string_view>

/** A file of items that was uploaded to make jobs from: an object that names the objects with its items. */
namespace Dogwoodkeel::StoredFile
{

/** @return the file's id: of its owner and its content, so that the same file sent again is the same file. */
std::string idOf(const WorkspaceName &tenant, const StoredItems &items);

/** @return key of the file's object. */
std::string keyOf(std::string_view id);

std::string encode(const WorkspaceName &tenant, const StoredItems &items);

/** @return the items, or nothing if the content is no file of the tenant. */
std::optional<StoredItems> decode(const WorkspaceName &tenant, std::string_view content);

} // namespace Dogwoodkeel::StoredFile
