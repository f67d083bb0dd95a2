#include <LibControl/TextDifference.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

using namespace Dogwoodkeel;

namespace
{

std::string textOf(const std::vector<int> &lines)
{
    std::string text;
    for (const int line : lines) {
        text += std::to_string(line) + '\n';
    }
    return text;
}

} // namespace

TEST_CASE("changes are described with their line number and the new lines")
{
    CHECK(describeChanges("base.toml", "a\nb\nc\n", "a\nx\nc\nd\n") == "base.toml:2\n- b\n+ x\nbase.toml:4\n+ d\n");
    CHECK(describeChanges("base.toml", "a\n", "a\n").empty());
}

TEST_CASE("merging a changed text with an unchanged one returns the changed text")
{
    const bool holds = rc::check([] {
        const auto lines = rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
        const std::string before = textOf(*lines);
        const std::string after = textOf(*lines);
        RC_ASSERT(mergeTexts(before, after, before).text == after);
        RC_ASSERT(mergeTexts(before, before, after).text == after);
        RC_ASSERT(mergeTexts(before, after, after).text == after);
    });
    CHECK(holds);
}

TEST_CASE("a change is merged with another operator's change of other lines")
{
    const TextMerge merge = mergeTexts("a\nb\nc\nd\ne\n", "A\nb\nc\nd\ne\n", "a\nb\nc\nd\nE\nF\n");
    CHECK(merge.conflicts.empty());
    CHECK(merge.text == "A\nb\nc\nd\nE\nF\n");
}

TEST_CASE("two different changes of one line are reported as a conflict")
{
    // Both operators set the capacity of one endpoint. Accepting either silently would undo the other's change.
    const TextMerge merge = mergeTexts("a\nb\nc\n", "a\nx\nc\n", "a\ny\nc\n");
    CHECK(merge.conflicts == std::vector<std::size_t>{2});
}
