#include <LibGateway/ChunkStore.h>

#include <doctest/doctest.h>

#include <random>
#include <string>

using namespace Dogwoodkeel;

namespace
{

std::string textOf(std::size_t bytes)
{
    std::minstd_rand random(1);
    std::string text;
    while (text.size() < bytes) {
        text += std::to_string(random()) + ',';
    }
    return text;
}

} // namespace

TEST_CASE("a text is assembled from the chunks of its outline")
{
    const std::string text = textOf(100'000);
    ChunkStore sender;
    const TextOutline outline = sender.put("a", text);
    ChunkStore receiver;
    receiver.reserve(outline);
    CHECK(receiver.missing(outline).size() == outline.chunks.size());
    for (const ChunkReference &chunk : outline.chunks) {
        CHECK_FALSE(receiver.assemble(outline));
        CHECK(receiver.add(*sender.find(chunk.digest)));
    }
    CHECK((receiver.assemble(outline) == text));
}

TEST_CASE("a chunk that nobody needs, or that is known, is not stored")
{
    ChunkStore store;
    CHECK_FALSE(store.add("unknown"));
    const TextOutline outline = store.put("a", "text");
    CHECK_FALSE(store.add("text"));
    CHECK(store.assemble(outline) == "text");
}

// Guards against a corrupt configuration: an outline whose chunks are not those of its text.
TEST_CASE("a text that does not match its outline is not assembled")
{
    ChunkStore store;
    TextOutline outline = store.put("a", "text");
    ++outline.digest;
    CHECK(store.missing(outline).empty());
    CHECK_FALSE(store.assemble(outline));
}

TEST_CASE("the next content under a name needs only the chunks that changed, and the former ones are dropped")
{
    const std::string before = textOf(100'000);
    const std::string after = before + "appended";
    ChunkStore sender;
    ChunkStore receiver;
    const TextOutline former = sender.put("a", before);
    receiver.put("a", before);
    const TextOutline outline = sender.put("a", after);
    receiver.reserve(outline);
    const std::vector<ChunkReference> missing = receiver.missing(outline);
    CHECK(missing.size() == 1);
    receiver.add(*sender.find(missing.at(0).digest));
    receiver.put("a", outline);
    receiver.release(outline);
    CHECK((receiver.assemble(outline) == after));
    CHECK(receiver.missing(former).size() == 1);
}

TEST_CASE("a removed text leaves the chunks that another one refers to")
{
    ChunkStore store;
    const TextOutline outline = store.put("a", "text");
    store.put("b", "text");
    store.remove("a");
    CHECK(store.assemble(outline) == "text");
    store.remove("b");
    CHECK_FALSE(store.assemble(outline));
}

TEST_CASE("a text of equal parts is stored once")
{
    ChunkStore store;
    const std::string text(100'000, 'x');
    const TextOutline outline = store.put("a", text);
    CHECK((store.assemble(outline) == text));
    store.put("a", "other");
    CHECK_FALSE(store.assemble(outline));
}
