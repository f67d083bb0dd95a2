#include "EntryBench.h"

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

// Guards against a refusal whose reason differs from its counter, and is the one of items that were certainly not stored.
TEST_CASE("a job that its owner cannot journal is refused with the reason under which it is counted")
{
    EntryBench bench(1);
    bench.owner.onSubmit = [&bench](const auto &respond) {
        bench.clock.shift(std::chrono::minutes(1));
        respond({SubmitDecision::Unavailable});
    };
    bench.start();
    const auto answer = bench.send({.method = "POST", .path = "/v1/batches", .body = "{\"model\":\"m\",\"prompt\":\"p\"}\n"});
    bench.untilEnd(answer);
    CHECK(answer->status == 503);
    CHECK(answer->error("reason") == "not_journalled");
    CHECK(answer->body.find(R"("run":"unknown")") != std::string::npos);
    CHECK(bench.metrics.text().find(R"(dogwoodkeel_answers_total{kind="job",result="not_journalled"} 1)") != std::string::npos);
}
