#include <LibBase/SystemClock.h>
#include <LibProxy/OutboundPool.h>
#include <LibTask/TaskHost.h>
#include <Tests/Fakes/ScriptedEndpoint.h>

#include <doctest/doctest.h>

#include <future>
#include <memory>
#include <string>

using namespace Dogwoodkeel;

namespace
{

constexpr std::size_t bodyBytes = 100000;
const std::string answerHead = "HTTP/1.1 200 OK\r\nX-Answer: yes\r\n";

/** A pool, and a server that sends the same bytes again and again until the connection is closed. */
class Flooded
{
public:
    Flooded(EventLoop &loop, std::string start, std::string repeated, bool isStream)
        : loop(loop)
        , repeated(std::move(repeated))
        , isStream(isStream)
        , endpoint(loop,
                   [this, start = std::move(start)](const std::shared_ptr<ScriptedEndpoint::Exchange> &exchange) {
                       exchange->raw(start);
                       this->repeat(exchange);
                   })
        , pool(loop, this->clock, 4, [this](const CutResponse &cut) {
            this->reason = cut.reason;
        })
    {
    }

    void repeat(const std::shared_ptr<ScriptedEndpoint::Exchange> &exchange)
    {
        if (this->repeats++ < maxRepeats && !this->repeated.empty()) {
            exchange->raw(this->repeated);
            this->loop.post([this, exchange] {
                this->repeat(exchange);
            });
        }
    }

    void call(const std::shared_ptr<std::promise<CollectedResponse>> &done)
    {
        OutboundCall call;
        call.address = this->endpoint.address();
        call.head = "GET / HTTP/1.1\r\nHost: h\r\n";
        call.bodyBytes = bodyBytes;
        call.isAnswer = [](const MessageHead &head) {
            return head.headers.find("X-Answer").has_value();
        };
        call.isStream = [this](const MessageHead &) {
            return this->isStream;
        };
        this->pool.fetch(std::move(call), std::chrono::seconds(20), [done](CollectedResponse response) {
            done->set_value(std::move(response));
        });
    }

    /** Ends a flood that nothing has cut: beyond every bound. */
    static constexpr int maxRepeats = 4000;
    EventLoop &loop;
    std::string repeated;
    bool isStream;
    int repeats = 0;
    SystemClock clock;
    std::string reason;
    ScriptedEndpoint endpoint;
    OutboundPool pool;
};

struct Outcome
{
    CollectedResponse response;
    /** Which bound cut the response; empty if none did. */
    std::string reason;
};

Outcome flood(const std::string &start, const std::string &repeated, bool isStream = false)
{
    TaskHost<Flooded> host("flood", start, repeated, isStream);
    const auto done = std::make_shared<std::promise<CollectedResponse>>();
    host.post([done](Flooded &flooded) {
        flooded.call(done);
    });
    Outcome outcome{done->get_future().get(), {}};
    outcome.reason = host.ask<std::string>([](Flooded &flooded) {
        return flooded.reason;
    });
    return outcome;
}

void checkCut(const Outcome &outcome, const std::string &reason)
{
    CHECK(outcome.response.end == CallEnd::Incomplete);
    CHECK(outcome.response.body.size() <= bodyBytes);
    CHECK(outcome.reason == reason);
}

const std::string kilobyte(1000, 'x');

} // namespace

// A replica or the store sends a body without end; the node would hold all of it until its memory is used up.
TEST_CASE("a body that exceeds its bound is cut in every framing")
{
    const std::string reason = "the body is too large";
    checkCut(flood(answerHead + "Content-Length: 100001\r\n\r\n", {}), reason);
    checkCut(flood(answerHead + "\r\n", kilobyte), reason);
    checkCut(flood(answerHead + "Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + kilobyte + "\r\n"), reason);
}

// The bound of the body is off by one, or counts the framing of chunks, so that a correct response is cut.
TEST_CASE("a body as large as its bound is received whole")
{
    const std::string body(bodyBytes, 'x');
    const Outcome withLength = flood(answerHead + "Content-Length: 100000\r\n\r\n" + body, {});
    CHECK(withLength.response.end == CallEnd::Complete);
    std::string chunks = answerHead + "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t sent = 0; sent < bodyBytes; ++sent) {
        chunks.append("1\r\nx\r\n");
    }
    const Outcome inChunks = flood(chunks + "0\r\n\r\n", {});
    CHECK(inChunks.response.end == CallEnd::Complete);
    CHECK(inChunks.response.body.size() == bodyBytes);
    CHECK(withLength.reason + inChunks.reason == "");
}

// A stream of a replica is cut although its reader holds only one event at a time.
TEST_CASE("a stream may be larger than the bound of a whole body")
{
    std::string stream = answerHead + "Transfer-Encoding: chunked\r\n\r\n";
    for (int part = 0; part < 200; ++part) {
        stream.append("3e8\r\n").append(kilobyte).append("\r\n");
    }
    const Outcome outcome = flood(stream + "0\r\n\r\n", {}, true);
    CHECK(outcome.response.end == CallEnd::Complete);
    CHECK(outcome.response.body.size() == 200 * kilobyte.size());
    CHECK(outcome.reason.empty());
}

// Bytes that never become part of a head or a body arrive without end and keep the call open until its deadline.
TEST_CASE("interim responses, empty lines, and framing without data are cut")
{
    const std::string reason = "there are too many bytes before the response";
    checkCut(flood({}, "HTTP/1.1 100 Continue\r\nX-Padding: " + kilobyte + "\r\n\r\n"), reason);
    checkCut(flood({}, "\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n"), reason);
    checkCut(flood({}, kilobyte), "the head is too large");
    checkCut(flood(answerHead + "Transfer-Encoding: chunked\r\n\r\n", std::string(1000, '0'), true),
             "the body has too much framing");
}

// A late response to another request is skipped without end, while the call waits for its own.
TEST_CASE("a skipped response is cut at its own bound")
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string reason = "the skipped response is too large";
    checkCut(flood(head + "Content-Length: 65537\r\n\r\n", {}), reason);
    checkCut(flood(head + "Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + kilobyte + "\r\n", true), reason);
    const std::string skipped = head + "Content-Length: 65536\r\n\r\n" + std::string(65536, 'x');
    const Outcome allowed = flood(skipped + answerHead + "Content-Length: 4\r\n\r\ngood", {});
    CHECK(allowed.response.body == "good");
}
