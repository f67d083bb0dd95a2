#include "EntryBench.h"

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

// Guards against a mistyped number that is taken for the default, or for the digits that it starts with.
TEST_CASE("a query parameter that is not a number in range is refused with 400")
{
    EntryBench bench(1);
    bench.start();
    for (const std::string query : {"/v1/entries?count=abc",
                                    "/v1/entries?count=",
                                    "/v1/batches?limit=abc",
                                    "/v1/batches?limit=4294967296",
                                    "/v1/batches/b/results?from=-1",
                                    "/v1/batches/b/results?limit=5x"}) {
        CAPTURE(query);
        const std::size_t mark = query.find('?');
        const auto answer = bench.send({.method = "GET", .path = query.substr(0, mark), .query = query.substr(mark + 1)});
        bench.untilEnd(answer);
        CHECK(answer->status == 400);
        CHECK(answer->error("reason") == "bad_query");
    }
}

// Guards against a job that is accepted with another due time than its caller asked for.
TEST_CASE("a job with an invalid due time is refused with 400")
{
    EntryBench bench(1);
    bench.start();
    const auto answer = bench.send(
        {.method = "POST", .path = "/v1/batches", .query = "due_in=1h", .body = "{\"model\":\"m\",\"prompt\":\"p\"}\n"});
    bench.untilEnd(answer);
    CHECK(answer->status == 400);
    CHECK(answer->error("reason") == "bad_query");
}
