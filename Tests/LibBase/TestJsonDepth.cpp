#include <LibBase/JsonDepth.h>

#include <doctest/doctest.h>

#include <string>

using namespace Dogwoodkeel;

TEST_CASE("Brackets are counted outside of strings only")
{
    const std::string deepest = std::string(jsonDepthLimit, '[') + std::string(jsonDepthLimit, ']');
    CHECK(!isNestedTooDeep(deepest));
    CHECK(isNestedTooDeep('[' + deepest));
    CHECK(isNestedTooDeep(std::string(jsonDepthLimit + 1, '{')));
    CHECK(!isNestedTooDeep('"' + std::string(1000, '[') + '"'));
    CHECK(!isNestedTooDeep(R"("\")" + std::string(1000, '[') + '"'));
    CHECK(isNestedTooDeep(R"("\\")" + std::string(1000, '[')));
}

TEST_CASE("Siblings do not add up")
{
    std::string flat = "[";
    for (int i = 0; i < 1000; ++i) {
        flat += "{},";
    }
    CHECK(!isNestedTooDeep(flat));
}
