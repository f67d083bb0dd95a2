#include <LibGateway/JobRows.h>
#include <LibWire/Codec.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace Dogwoodkeel;

namespace
{

const JobId job("j");

std::vector<StoredRow> stored(std::vector<RowPut> puts)
{
    std::ranges::sort(puts, {}, [](const RowPut &put) {
        return put.place.key;
    });
    std::vector<StoredRow> rows;
    for (const RowPut &put : puts) {
        rows.push_back({put.place, put.value, 1, false});
    }
    return rows;
}

std::vector<RowPut> results(const std::vector<std::string> &outputs, std::size_t rowBytes)
{
    std::vector<RowPut> puts;
    for (std::size_t i = 0; i < outputs.size(); ++i) {
        const ItemResult result{ItemId("i" + std::to_string(i)), ItemOutcome::Completed, outputs[i]};
        const std::vector<RowPut> more = JobRows::putResult(job, i, result, rowBytes);
        puts.insert(puts.end(), more.begin(), more.end());
    }
    return puts;
}

} // namespace

TEST_CASE("results of any size come back in the order of their positions")
{
    const std::vector<std::string> outputs{"a", std::string(5000, 'b'), "", std::string(100, 'd')};
    const std::vector<StoredRow> rows = stored(results(outputs, 512));
    const std::vector<ItemResult> read = JobRows::readResults(rows, 0);
    REQUIRE(read.size() == 4);
    for (std::size_t i = 0; i < outputs.size(); ++i) {
        CHECK(read[i].output == outputs[i]);
        CHECK(read[i].id == ItemId("i" + std::to_string(i)));
    }
}

// The store answers at most so many rows; the answer can end inside a result. A result told in part would be taken by the
// caller for the whole output.
TEST_CASE("a result of which a piece is missing is not told, nor is what stands behind a gap")
{
    std::vector<StoredRow> rows = stored(results({"a", std::string(2000, 'b'), "c"}, 512));
    std::vector<StoredRow> cut(rows.begin(), rows.begin() + 3);
    CHECK(JobRows::readResults(cut, 0).size() == 1);
    rows.erase(rows.begin());
    CHECK(JobRows::readResults(rows, 0).empty());
}

TEST_CASE("a content in pieces comes back whole, and not at all if one is missing")
{
    JobContent content;
    content.items.push_back({"i", "/p/x", {{"X-Model", "m"}}, std::string(3000, 'x'), 7});
    const std::vector<std::string> pieces = JobRows::split(encode(content), 512);
    std::vector<StoredRow> rows;
    for (std::uint32_t piece = 0; piece < pieces.size(); ++piece) {
        rows.push_back({JobRows::contentPiece(job, piece), pieces[piece], 1, false});
    }
    CHECK(JobRows::readContent(rows, static_cast<std::uint32_t>(pieces.size())) == content);
    rows.pop_back();
    CHECK_FALSE(JobRows::readContent(rows, static_cast<std::uint32_t>(pieces.size())));
}
