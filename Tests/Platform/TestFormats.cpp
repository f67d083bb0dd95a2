#include <platform/ConfigurationFormat.h>
#include <platform/DirectoryFormat.h>
#include <platform/JobFormat.h>
#include <platform/ReplicaFormat.h>
#include <platform/RequestFormat.h>

#include <LibGateway/JobRows.h>
#include <LibWire/Codec.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace Dogwoodkeel;

namespace
{

MessageHead requestHead(const std::string &method, const std::string &target)
{
    MessageHead head;
    head.method = method;
    head.target = target;
    return head;
}

const ServingReplica replica{
    EndpointName("i-7@5"), EndpointName("i-7"), ServiceName("s"), {"10.0.0.1", 80}, FailureDomain("z"), 8, false};

/** An entry as a replica writes it. */
nlohmann::json replicaEntry()
{
    return nlohmann::json::parse(R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":8,
        "state":"draining","coldLeftMs":0,"born":1764700000000,"seq":3})");
}

} // namespace

TEST_CASE("a configuration is decoded into routes, services and limits")
{
    const auto read = decodeConfiguration(R"({"version":7,"routes":[
        {"name":"a","host":"h","prefix":"/a/","routeKind":"streaming","timeoutMs":5000,"fullValueMs":300,"priority":1,
         "service":"s","maxAttempts":2,"resumable":true,"gapTargetMs":250},
        {"name":"b","host":"h","prefix":"/b/","routeKind":"batch","maxCount":1000,"retentionS":60,"completionTargetMs":18000,
         "split":[{"service":"s","weight":90},{"service":"t","weight":10}]},
        {"name":"c","host":"h","prefix":"/c/","routeKind":"something new","service":"t"}],
        "services":[{"name":"s","healthPath":"/h","maxConns":9,"engine":{"slots":8,"kvCapacity":72000}},{"name":"t"}],
        "limits":{"maxHeaderBytes":100,"maxBodyBytes":200,"headerTimeoutMs":300,"idleTimeoutMs":400}})");
    REQUIRE(read);
    CHECK(read->version == 7);
    REQUIRE(read->routes.size() == 3);
    CHECK(read->routes[0].kind == RouteKind::Stream);
    CHECK(read->routes[0].isResumable);
    CHECK(read->routes[0].objective == std::chrono::milliseconds(300));
    CHECK(read->routes[0].longestPause == std::chrono::milliseconds(250));
    CHECK(read->routes[1].targets.size() == 2);
    CHECK(read->routes[1].waitingTokens == 1000);
    CHECK(read->routes[1].retention == std::chrono::seconds(60));
    CHECK(read->routes[2].kind == RouteKind::NonIdempotent);
    CHECK(read->services[0].engine->slots == 8);
    CHECK_FALSE(read->services[1].engine);
    CHECK(read->limits.idleTimeout == std::chrono::milliseconds(400));
}

TEST_CASE("an invalid configuration is rejected")
{
    CHECK_FALSE(decodeConfiguration(""));
    CHECK_FALSE(decodeConfiguration("[]"));
    CHECK_FALSE(decodeConfiguration(R"({"routes":[]})"));
    CHECK(decodeConfiguration(R"({"version":1,"routes":[{"timeoutMs":-5,"maxAttempts":"x","split":7}]})"));
}

// Guards against numbers that wrap: 2^32 + 1 attempts would be one, and the end of a wait of 9e15 ms would lie in the past.
TEST_CASE("a configuration with a number out of range is rejected")
{
    for (const char *const part : {R"("routes":[{"maxAttempts":4294967297}])",
                                   R"("routes":[{"priority":2147483648}])",
                                   R"("routes":[{"split":[{"service":"s","weight":4294967296}]}])",
                                   R"("routes":[{"maxCount":1e20}])",
                                   R"("routes":[{"timeoutMs":9e15}])",
                                   R"("routes":[{"retentionS":9223372036854775807}])",
                                   R"("services":[{"maxConns":4294967296}])",
                                   R"("services":[{"engine":{"slots":4294967304}}])",
                                   R"("limits":{"idleTimeoutMs":1e300})",
                                   R"("tenants":[{"name":"w","priority":4294967296}])"}) {
        CAPTURE(std::string(part));
        CHECK_FALSE(decodeConfiguration(R"({"version":1,)" + std::string(part) + '}'));
    }
    CHECK_FALSE(decodeConfiguration(R"({"version":1e16})"));
    const auto largest = decodeConfiguration(
        R"({"version":1,"routes":[{"maxAttempts":4294967295,"priority":2147483647,"maxCount":1e19,"retentionS":4294967295}]})");
    REQUIRE(largest);
    CHECK(largest->routes[0].maxAttempts == 4294967295);
    CHECK(largest->routes[0].priority == 2147483647);
}

TEST_CASE("a replica's entry is decoded, and an entry without an address is rejected")
{
    const auto read = decodeReplica("i-1", replicaEntry().dump());
    REQUIRE(read);
    CHECK(read->registeredName == EndpointName("i-1"));
    CHECK(read->slots == 8);
    CHECK(read->version == SoftwareVersion("v1"));
    CHECK(read->isDraining);
    CHECK_FALSE(decodeReplica("i-1", R"({"service":"s"})"));
    CHECK_FALSE(decodeReplica("i-1", "nonsense"));
}

// Guards against callers who send headers that only the system may set. A replica that received such a header twice could resume
// a stream after an event that the reader has not received, or work past the deadline.
TEST_CASE("a replica receives the caller's headers, and each header that the system sets exactly once")
{
    MessageHead head = requestHead("POST", "/a/b?c=%20d");
    head.headers.add("Host", "h");
    head.headers.add("X-Request-Id", "r1");
    head.headers.add("x-deadline-ms", "99999");
    head.headers.add("Last-Event-ID", "3");
    head.headers.add("X-Expect-Instance", "i-0");
    head.headers.add("X-Custom", "1");
    head.headers.add("X-Custom", "2");
    head.headers.add("Connection", "keep-alive, X-Hop");
    head.headers.add("X-Hop", "1");
    head.headers.add("Transfer-Encoding", "chunked");
    const std::string text = encodeReplicaRequest(head, std::nullopt, replica, std::chrono::milliseconds(1200), 9);
    CHECK(text
          == "POST /a/b?c=%20d HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nX-Custom: 1\r\nX-Custom: 2\r\n"
             "X-Deadline-Ms: 1200\r\nX-Expect-Instance: i-7\r\nLast-Event-Id: 9\r\n");
}

TEST_CASE("the properties in request headers are decoded, and malformed ones are ignored")
{
    HeaderList headers;
    headers.add("X-Request-Id", "r1");
    headers.add("X-Deadline-Ms", "5000");
    headers.add("X-Token-Usage", "1460,80");
    headers.add("X-Prefix-Hash", "5c1e:800,e440:250");
    headers.add("Last-Event-Id", "x");
    headers.add("Resumes", "r0");
    const RequestTraits traits = decodeTraits(headers);
    CHECK(traits.id == "r1");
    CHECK(traits.timeout == std::chrono::milliseconds(5000));
    CHECK(traits.promptTokens == 1460);
    CHECK(traits.maxOutputTokens == 80);
    CHECK(traits.sharedPromptParts == std::vector<std::string>{"5c1e"});
    CHECK(traits.lastPromptPart == "e440");
    CHECK_FALSE(traits.lastEvent);
    CHECK(traits.resumedId == "r0");
    CHECK_FALSE(decodeTraits({}).timeout);
}

TEST_CASE("only a header or status of a replica proves that a request was not run")
{
    MessageHead head;
    head.status = 503;
    CHECK_FALSE(decodeReplicaAnswer(head).isNotExecuted);
    head.headers.add("X-Not-Executed", "1");
    CHECK(decodeReplicaAnswer(head).isNotExecuted);
    MessageHead misdirected;
    misdirected.status = 421;
    CHECK(decodeReplicaAnswer(misdirected).isNotExecuted);
}

// A replica that shares its machine states a fourth number. If that made the header invalid, the dispatcher would know nothing of
// such replicas' load.
TEST_CASE("the load header of a replica must consist of three or four whole numbers")
{
    const auto stated = [](const std::string &text) {
        MessageHead head;
        head.status = 200;
        head.headers.add("X-Server-Load", text);
        return decodeReplicaAnswer(head).stated;
    };
    const auto load = stated("3,1,8");
    REQUIRE(load);
    CHECK(load->load.running == 3);
    CHECK(load->load.waiting == 1);
    CHECK(load->slots == 8);
    CHECK(load->pace == 0);
    const auto onSharedMachine = stated("3,1,8,250");
    REQUIRE(onSharedMachine);
    CHECK(onSharedMachine->load.running == 3);
    CHECK(onSharedMachine->slots == 8);
    CHECK(onSharedMachine->pace == 250);
    for (const char *const bad : {"",
                                  "3",
                                  "3,1",
                                  "3,1,",
                                  "3,1,8,",
                                  "3,1,8x",
                                  "-3,1,8",
                                  "3, 1,8",
                                  "3,,8",
                                  "3,1,99999999999",
                                  "3,1,8,x",
                                  "3,1,8,250,",
                                  "3,1,8,250,1"}) {
        CHECK_FALSE_MESSAGE(stated(bad), bad);
    }
    CHECK_FALSE(decodeReplicaAnswer(MessageHead()).stated);
}

TEST_CASE("calls on jobs are recognised by method and path")
{
    MessageHead read = requestHead("GET", "/lots/j1?afterRev=12");
    read.headers.add("X-Wait-Ms", "1000");
    const auto results = std::get<ReadResultsCall>(decodeJobCall(read));
    CHECK(results.job == JobId("j1"));
    CHECK(results.from == 12);
    CHECK(results.wait == std::chrono::milliseconds(1000));
    CHECK(std::get<ReadItemCall>(decodeJobCall(requestHead("GET", "/items/j1?id=i2"))).item == ItemId("i2"));
    CHECK(std::get<EndJobCall>(decodeJobCall(requestHead("DELETE", "/lots/j1"))).job == JobId("j1"));
    CHECK(std::holds_alternative<std::monostate>(decodeJobCall(requestHead("POST", "/lots/j1"))));
    CHECK(std::holds_alternative<std::monostate>(decodeJobCall(requestHead("GET", "/other/j1"))));
}

// Guards against header and request injection: a line break in a header or path of an item would add a header or a request.
TEST_CASE("a submission with an item that could inject a header or a request is rejected as a whole")
{
    const auto submission = [](const std::string &path, const std::string &name, const std::string &value) {
        return R"({"requests":[{"id":"i1","path":")" + path + R"(","headers":{")" + name + R"(":")" + value
            + R"("},"body":"YWJj","tokens":9}]})";
    };
    const auto good = decodeSubmission(submission("/p/1", "X-Model", "m"));
    REQUIRE(good);
    CHECK(good->front().body == "abc");
    CHECK(good->front().tokens == 9);
    CHECK_FALSE(decodeSubmission(submission("/p/1", "X-Model", R"(m\r\nX-Evil: 1)")));
    CHECK_FALSE(decodeSubmission(submission("/p/1", R"(X-A\r\nX-Evil)", "1")));
    CHECK_FALSE(decodeSubmission(submission("/p HTTP/1.1", "X-Model", "m")));
    CHECK_FALSE(decodeSubmission(submission("p", "X-Model", "m")));
    CHECK_FALSE(decodeSubmission(R"({"requests":[]})"));
    CHECK_FALSE(decodeSubmission("{"));
}

TEST_CASE("addresses are encoded with their time to live")
{
    CHECK(encodeAddresses({{"10.0.0.1", 80}}, std::chrono::milliseconds(1500)) == R"({"addresses":["10.0.0.1:80"],"ttlS":1.5})");
    const auto query = decodeAddressQuery(requestHead("GET", "/resolve?name=h&region=r&zone=z%2D1"));
    REQUIRE(query);
    CHECK(query->callerDomain == FailureDomain("z-1"));
    CHECK_FALSE(decodeAddressQuery(requestHead("POST", "/resolve")));
}

TEST_CASE("a replica that restarts under the same name is a new incarnation")
{
    nlohmann::json again = replicaEntry();
    again["born"] = 1764700009000;
    const auto first = decodeReplica("i-1", replicaEntry().dump());
    const auto second = decodeReplica("i-1", again.dump());
    REQUIRE(first);
    REQUIRE(second);
    CHECK(first->instance != second->instance);
    CHECK(first->registeredName == second->registeredName);
    again.erase("born");
    CHECK(decodeReplica("i-1", again.dump())->instance == EndpointName("i-1"));
}

// Guards against entries that another program wrote: a field is missing or has another type, the state is unknown, or the bytes
// are not valid text. A node that accepted one would send requests to an address without a listener, or count slots that do not
// exist.
TEST_CASE("an entry with a missing or malformed field is rejected")
{
    const std::map<std::string, std::vector<nlohmann::json>> malformed{
        {"service", {nullptr, "", 7, nlohmann::json::array()}},
        {"address", {nullptr, "", "10.0.0.9", "10.0.0.9:0", "10.0.0.9:99999", "host:80", 80}},
        {"zone", {nullptr, "", 1}},
        {"version", {nullptr, 2, nlohmann::json::object()}},
        {"slots", {nullptr, 0, -1, 2.5, "8", 1e18, true}},
        {"state", {nullptr, "", "gone", "READY", 1}},
        {"coldLeftMs", {nullptr, "0", -1}},
        {"seq", {nullptr, -1, 1.5, "3"}},
        {"born", {nullptr, -1, 1.5, "1764700000000", true, nlohmann::json::array()}},
    };
    for (const auto &one : malformed) {
        const std::string &field = one.first;
        nlohmann::json entry = replicaEntry();
        entry.erase(field);
        CAPTURE(field);
        CHECK(decodeReplica("i-1", entry.dump()).has_value() == (field == "born"));
        for (const nlohmann::json &value : one.second) {
            entry[field] = value;
            CAPTURE(value.dump());
            CHECK_FALSE(decodeReplica("i-1", entry.dump()));
        }
    }
    nlohmann::json more = replicaEntry();
    more["new"] = {{"a", 1}};
    CHECK(decodeReplica("i-1", more.dump()));
    CHECK_FALSE(decodeReplica("", replicaEntry().dump()));
    CHECK_FALSE(decodeReplica("i-1", "\xff\xfe" + replicaEntry().dump()));
    CHECK_FALSE(decodeReplica("i-1", ""));
}

TEST_CASE("decoders of rows written by other programs accept or reject any content without failing")
{
    rc::check("any text", [](const std::string &text) {
        decodeReplica("i-1", text);
        decodeConfiguration(text);
        decode<NodeRecord>(text);
        decode<OpenJob>(text);
        decode<JobHead>(text);
        decode<JobContent>(text);
        decode<ItemProgress>(text);
    });
    rc::check("an entry with some bytes changed", [](const std::vector<std::pair<std::uint8_t, char>> &changes) {
        std::string text = replicaEntry().dump();
        for (const auto &[position, byte] : changes) {
            text[position % text.size()] = byte;
        }
        if (const auto read = decodeReplica("i-1", text)) {
            RC_ASSERT(read->slots > 0);
            RC_ASSERT(read->address.port > 0);
            RC_ASSERT(!read->service.value().empty());
        }
    });
}
