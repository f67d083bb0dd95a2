#include "EntryBench.h"

#include <LibBase/Encoding.h>

#include <doctest/doctest.h>

#include <string>

using namespace Dogwoodkeel;

namespace
{

constexpr std::int64_t onlineBytes = 1024;
constexpr std::size_t configurationSize = 8192;

/** An entry task with the tenants "shop" and "operators"; records the operator requests that it forwards. */
struct Fixture
{
    EntryBench bench{1};
    std::size_t received = 0;
    std::string author;

    Fixture()
    {
        this->bench.settings.entry.bodyBytes = onlineBytes;
        this->bench.settings.tenants = {{.name = "shop", .keyHashes = {hashOfKey("shop key")}},
                                        {.name = "operators", .keyHashes = {hashOfKey("operator key")}, .isOperator = true}};
        this->bench.operators = [this](const OperatorRequest &request, const OperatorRespond &respond) {
            this->received = request.request.body.size();
            this->author = request.operatorName;
            respond({200, {}, "{}"});
        };
        this->bench.start();
    }

    EntryBench::AnswerPointer propose(const std::string &key)
    {
        auto answer = this->bench.send({.method = "POST",
                                        .path = "/v1/config",
                                        .headers = {{"Authorization", "Bearer " + key}},
                                        .body = std::string(configurationSize, 'x')});
        this->bench.untilEnd(answer);
        return answer;
    }
};

} // namespace

TEST_CASE("a configuration may be larger than an online request")
{
    // The configuration of a site with 38,000 tenants exceeds entry.body_bytes. If it were refused as too large, it
    // could never be changed again.
    Fixture fixture;
    CHECK(fixture.propose("operator key")->status == 200);
    CHECK(fixture.received == configurationSize);
    CHECK(fixture.author == "operators");
}

TEST_CASE("a caller without an operator's key can neither change the configuration nor send a large body to it")
{
    Fixture fixture;
    const auto answer = fixture.propose("shop key");
    CHECK(answer->status == 413);
    CHECK(fixture.received == 0);
    const auto small
        = fixture.bench.send({.method = "GET", .path = "/v1/config", .headers = {{"Authorization", "Bearer shop key"}}});
    fixture.bench.untilEnd(small);
    CHECK(small->status == 403);
    CHECK(fixture.author.empty());
}
