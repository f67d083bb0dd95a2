#include <LibGateway/ContentChunker.h>

#include <doctest/doctest.h>

#include <random>
#include <set>
#include <string>

using namespace Dogwoodkeel;

namespace
{

std::string textOf(std::size_t bytes, unsigned int seed)
{
    std::minstd_rand random(seed);
    std::string text;
    while (text.size() < bytes) {
        text += "{\"name\":\"route-" + std::to_string(random()) + "\",\"timeoutMs\":5000},";
    }
    return text;
}

std::set<std::string_view> setOf(std::string_view text)
{
    const std::vector<std::string_view> chunks = splitByContent(text);
    return {chunks.begin(), chunks.end()};
}

} // namespace

TEST_CASE("the chunks of a text are bounded and make up the text")
{
    for (const std::size_t bytes : {0, 1, 2047, 2048, 100'000}) {
        const std::string text = textOf(bytes, 1).substr(0, bytes);
        std::string joined;
        for (const std::string_view chunk : splitByContent(text)) {
            CHECK(chunk.size() <= maxChunkBytes);
            CHECK_FALSE(chunk.empty());
            joined.append(chunk);
        }
        CHECK((joined == text));
    }
}

TEST_CASE("a text without any boundary is split at the maximum size")
{
    const std::string text(3 * maxChunkBytes + 1, 'x');
    CHECK(splitByContent(text).size() == 4);
}

// Guards against a change of one field that costs as much as the whole text.
TEST_CASE("an insertion changes few chunks")
{
    const std::string before = textOf(700'000, 2);
    for (const std::size_t position : {0, 1, 300'000, 699'000}) {
        std::string after = before;
        after.insert(position, "an inserted route");
        const std::set<std::string_view> known = setOf(before);
        std::size_t changed = 0;
        for (const std::string_view chunk : setOf(after)) {
            changed += known.contains(chunk) ? 0 : 1;
        }
        CHECK(changed >= 1);
        CHECK(changed < known.size() / 10);
    }
}
