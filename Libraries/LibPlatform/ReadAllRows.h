#pragma once

#include <LibPlatform/RowStore.h>

#include <functional>

namespace Dogwoodkeel
{

/**
 * Read a range of rows whole, in as many answers as it takes.
 *
 * The answers are of different moments. Their rows come in key order, so what stands before them all was read first; the
 * version told is the first answer's, so that following the table from there leaves out no change made meanwhile.
 * @param store must outlive the read, or drop its answers with itself
 * @param done Failed if any part was not answered
 */
void readAllRows(RowStore &store, RowRange range, std::function<void(RowRangeResult)> done);

} // namespace Dogwoodkeel
