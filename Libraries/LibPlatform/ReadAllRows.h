#pragma once

#include <LibPlatform/RowStore.h>

#include <functional>

namespace Dogwoodkeel
{

/**
 * Reads a whole range of rows, page by page.
 *
 * The pages are snapshots of different moments, in key order. The reported version is that of the first page, so that following
 * the table from it misses no change made during the read.
 * @param store must outlive the read, or drop pending callbacks when it is destroyed
 * @param done receives Failed if any page could not be read, or if a page is older than the first
 */
void readAllRows(RowStore &store, RowRange range, std::function<void(RowRangeResult)> done);

} // namespace Dogwoodkeel
