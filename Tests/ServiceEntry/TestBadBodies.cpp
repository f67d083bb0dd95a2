#include <LibBase/JsonDepth.h>
#include <LibHttp/ServerSentEvents.h>
#include <LibPlatform/PlatformProtocol.h>
#include <LibRouting/Quarantine.h>
#include <Services/Entry/Completion.h>
#include <Services/Entry/JobParser.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace Dogwoodkeel;

namespace
{

/** Generates texts of JSON fragments in random order: valid, nearly valid or invalid JSON. */
rc::Gen<std::string> fragments()
{
    static const std::vector<std::string> known{"{",
                                                "}",
                                                "[",
                                                "]",
                                                ",",
                                                ":",
                                                "null",
                                                "true",
                                                "-1",
                                                "1e999",
                                                "18446744073709551616",
                                                "\"\"",
                                                R"("key")",
                                                R"("model")",
                                                R"("prompt")",
                                                R"("messages")",
                                                R"("stream")",
                                                R"("choices")",
                                                R"("delta")",
                                                R"("content")",
                                                R"("value")",
                                                R"("version")",
                                                R"("writes")",
                                                R"("conditions")",
                                                R"("limit")",
                                                R"("name")",
                                                R"("leaving")",
                                                R"("\ud800")",
                                                "\"\xff\"",
                                                R"("bm9wZQ==")"};
    return rc::gen::map(rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(known)),
                        [](const std::vector<std::string> &parts) {
                            std::string text;
                            for (const std::string &part : parts) {
                                text += part;
                            }
                            return text;
                        });
}

} // namespace

// Guards against a stack overflow: the JSON library parses a body of a few hundred kilobytes of nested brackets, but
// serializes and copies it recursively. The overflow would end the whole node, and with it the work of all its callers.
TEST_CASE("A body that is nested too deep is refused by every decoder")
{
    const std::string deep = std::string(200000, '[') + std::string(200000, ']');
    const std::string body = R"({"model":"m","prompt":)" + deep + "}";
    CHECK(!CompletionRequest::parse(CompletionForm::Text, body));
    JobParser parser({10, 1000000, 3});
    parser.feed(R"({"custom_id":"a","body":)" + body + "}\n");
    parser.end();
    CHECK(parser.findings().toString().find("nested too deep") != std::string::npos);
    CHECK(contentFingerprint("m", body) == contentFingerprint("m", body));
}

TEST_CASE("Decoders of request bodies do not crash on any input")
{
    CHECK(rc::check([] {
        const std::string text = *fragments();
        if (const auto request = CompletionRequest::parse(CompletionForm::Chat, text)) {
            request->engineBody("text", 3);
        }
        if (const auto request = CompletionRequest::parse(CompletionForm::Text, text)) {
            request->engineBody("", 0);
        }
        CompletionDelta::parse(text);
        contentFingerprint("m", text);
    }));
}

TEST_CASE("Decoders of platform answers do not crash on any input, and accept only what can be encoded again")
{
    CHECK(rc::check([] {
        const std::string text = *fragments();
        PlatformProtocol::decodeRange(text);
        PlatformProtocol::decodeKeys(text);
        PlatformProtocol::decodeVms(text);
        PlatformProtocol::decodeTransaction(text);
        if (const auto rows = PlatformProtocol::decodeRows(text)) {
            const auto again = PlatformProtocol::decodeRows(PlatformProtocol::encodeRows(*rows));
            RC_ASSERT(again.has_value());
            RC_ASSERT(again->size() == rows->size());
        }
        if (const auto row = PlatformProtocol::decodeRow(text)) {
            RC_ASSERT(PlatformProtocol::decodeRow(PlatformProtocol::encodeRow(*row))->value == row->value);
        }
    }));
}

TEST_CASE("A stream of events yields the same events however it is split")
{
    CHECK(rc::check([](const std::vector<std::string> &texts, std::uint8_t cut, const std::string &noise) {
        std::string bytes;
        for (const std::string &text : texts) {
            bytes += ServerSentEvents::format(text);
        }
        bytes += noise;
        constexpr std::size_t limit = 10000;
        ServerSentEvents whole(limit);
        ServerSentEvents parts(limit);
        std::vector<std::string> events;
        const std::size_t step = cut + 1;
        for (std::size_t at = 0; at < bytes.size(); at += step) {
            for (std::string &event : parts.feed(std::string_view(bytes).substr(at, step))) {
                events.push_back(std::move(event));
            }
        }
        RC_ASSERT(events == whole.feed(bytes));
        RC_ASSERT(parts.isBroken() == whole.isBroken());
    }));
}
