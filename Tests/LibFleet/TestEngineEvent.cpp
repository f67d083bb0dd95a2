#include <LibFleet/EngineEvent.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace Dogwoodkeel;

TEST_CASE("the text of a first choice is read in each of its three forms")
{
    CHECK(EngineEvent::parse(R"({"choices":[{"index":0,"text":"a"}]})")->text == "a");
    CHECK(EngineEvent::parse(R"({"choices":[{"delta":{"role":"x","content":"b"},"finish_reason":null}]})")->text == "b");
    const auto whole = EngineEvent::parse(R"({"id":"1","choices":[{"message":{"content":"c"},"finish_reason":"stop"}]})");
    CHECK(whole->text == "c");
    CHECK(whole->finishReason == "stop");
}

TEST_CASE("text outside the first choice of an event is ignored")
{
    const auto event = EngineEvent::parse(
        R"({"text":"no","usage":{"x":{"content":"no"}},"choices":[{"logprobs":{"content":"no"},"text":"yes"},{"text":"second"}],"extra":[{"text":"no"}]})");
    REQUIRE(event.has_value());
    CHECK(event->text == "yes");
}

TEST_CASE("an event without a choice, or with invalid JSON, is rejected")
{
    CHECK_FALSE(EngineEvent::parse(R"({"choices":[]})").has_value());
    CHECK_FALSE(EngineEvent::parse(R"({"error":{"message":"x"}})").has_value());
    CHECK_FALSE(EngineEvent::parse("[1,2").has_value());
    CHECK_FALSE(EngineEvent::parse("").has_value());
}

TEST_CASE("any text is preserved, and arbitrary bytes are parsed safely")
{
    CHECK(rc::check([](const std::vector<std::uint16_t> &letters) {
        std::string text;
        for (const std::uint16_t letter : letters) {
            text.push_back(static_cast<char>(letter % 127 + 1));
        }
        const nlohmann::json event{{"choices", nlohmann::json::array({{{"delta", {{"content", text}}}}})}};
        RC_ASSERT(EngineEvent::parse(event.dump())->text == text);
    }));
    CHECK(rc::check([](const std::string &bytes) {
        EngineEvent::parse(bytes);
    }));
}
