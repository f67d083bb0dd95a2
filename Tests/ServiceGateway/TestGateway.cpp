#include <Tests/ServiceGateway/RunningGateway.h>

#include <LibBase/Encoding.h>

using namespace Dogwoodkeel;

TEST_CASE("a request is sent unchanged to a replica of its service, and the signed answer is returned")
{
    StandInReplica *replica = nullptr;
    RunningGateway running([&replica](GatewayBench &bench) {
        replica = &bench.addReplica("i-1", "api", answerWhole);
    });
    const std::string answer = running.call("POST /s/a%20b?c=d", "X-Custom: 1\r\n", "hello");
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(has(answer, "X-Server-Signature: sig\r\n"));
    CHECK(answer.ends_with("[hello]"));
    const MessageHead head = running.host.ask<MessageHead>([&replica](GatewayBench &) {
        return replica->heads.at(0);
    });
    CHECK(head.target == "/s/a%20b?c=d");
    CHECK(head.headers.find("X-Custom") == "1");
    CHECK(head.headers.find("X-Expect-Instance") == "i-1");
    CHECK(running.call("GET /nowhere/").starts_with("HTTP/1.1 404"));
}

TEST_CASE("a stream is passed on with its events")
{
    RunningGateway running([](GatewayBench &bench) {
        bench.addReplica("i-1", "llm", streamWhole);
    });
    const std::string answer = running.call("POST /o/x");
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(has(answer, "id: 1\ndata: t1\n\n"));
    CHECK(has(answer, "id: 3\ndata: t3\n\n"));
    CHECK(answer.ends_with("0\r\n\r\n"));
}

// A replica crashes in the middle of a resumable stream. The caller receives one stream: the second replica continues after the
// last complete event, and the incomplete event of the first is dropped.
TEST_CASE("a resumable stream continues at another replica without lost or repeated events")
{
    RunningGateway running([](GatewayBench &bench) {
        for (const char *const instance : {"i-1", "i-2"}) {
            bench.addReplica(instance, "llm", [](const std::shared_ptr<CallerExchange> &exchange) {
                if (exchange->head().headers.find("Last-Event-Id")) {
                    streamWhole(exchange);
                    return;
                }
                sendEvents(exchange, 2);
                exchange->write("id: 3\ndata: ha");
                exchange->abort();
            });
        }
    });
    const std::string answer = running.call("POST /r/x");
    CHECK(has(answer, "id: 2\ndata: t2\n\n"));
    CHECK(has(answer, "id: 3\ndata: t3\n\n"));
    CHECK_FALSE(has(answer, "data: ha"));
    CHECK(answer.find("id: 3") == answer.rfind("id: 3"));
    CHECK(answer.ends_with("0\r\n\r\n"));
}

// The same crash in a stream that runs at most once. No event may be repeated, and the caller must see that the end is missing.
TEST_CASE("a stream that runs at most once and is interrupted does not look complete")
{
    RunningGateway running([](GatewayBench &bench) {
        bench.addReplica("i-1", "llm", [](const std::shared_ptr<CallerExchange> &exchange) {
            sendEvents(exchange, 2);
            exchange->abort();
        });
        bench.addReplica("i-2", "llm", [](const std::shared_ptr<CallerExchange> &exchange) {
            sendEvents(exchange, 2);
            exchange->abort();
        });
    });
    const std::string answer = running.call("POST /o/x");
    CHECK(has(answer, "id: 2"));
    CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
    const std::size_t runs = running.host.ask<std::size_t>([](GatewayBench &bench) {
        return bench.replicas[0]->heads.size() + bench.replicas[1]->heads.size();
    });
    CHECK(runs == 1);
}

// The replica runs the request, and the connection is lost before the answer. The request must not run again, and status 503
// would state that it never ran.
TEST_CASE("a request that runs at most once and whose answer is lost is neither repeated nor reported as not run")
{
    RunningGateway running([](GatewayBench &bench) {
        for (const char *const instance : {"i-1", "i-2"}) {
            bench.addReplica(instance, "api", [](const std::shared_ptr<CallerExchange> &exchange) {
                exchange->abort();
            });
        }
    });
    CHECK(running.call("POST /u/x").starts_with("HTTP/1.1 502"));
    const std::size_t runs = running.host.ask<std::size_t>([](GatewayBench &bench) {
        return bench.replicas[0]->heads.size() + bench.replicas[1]->heads.size();
    });
    CHECK(runs == 1);
}

TEST_CASE("a request that a replica states not to have executed is sent to another, even if it runs at most once")
{
    RunningGateway running([](GatewayBench &bench) {
        bench.addReplica("i-1", "api", [](const std::shared_ptr<CallerExchange> &exchange) {
            HeaderList headers;
            headers.add("X-Not-Executed", "1");
            exchange->send(503, headers, {});
        });
        bench.addReplica("i-2", "api", answerWhole);
    });
    for (int i = 0; i < 4; ++i) {
        CHECK(running.call("POST /u/x").starts_with("HTTP/1.1 200"));
    }
}

// A success without the replica's signature comes from another process at its address, or from a fault on the route.
TEST_CASE("a success without the signature of a replica is not passed on")
{
    RunningGateway running([](GatewayBench &bench) {
        bench.addReplica("i-1", "api", [](const std::shared_ptr<CallerExchange> &exchange) {
            exchange->send(200, {}, "forged");
        });
    });
    const std::string answer = running.call("POST /u/x");
    CHECK(answer.starts_with("HTTP/1.1 502"));
    CHECK_FALSE(has(answer, "forged"));
}

TEST_CASE("a request without a free slot is refused with Retry-After before its timeout")
{
    RunningGateway running([](GatewayBench &bench) {
        bench.addReplica("i-1", "api", ignore);
    });
    const std::string notRun = running.call("POST /so/x");
    CHECK(notRun.starts_with("HTTP/1.1 503"));
    CHECK(has(notRun, "Retry-After: "));
    CHECK(running.call("POST /su/x").starts_with("HTTP/1.1 504"));
}

// A node that has started while the platform does not answer has no configuration. With a short Retry-After a caller would get
// the same answer once more, and give up with most of its time unused.
TEST_CASE("without a configuration, Retry-After is a third of the caller's time")
{
    TaskHost<GatewayBench> host("gateway");
    const Address node = host.ask<Address>([](GatewayBench &bench) {
        bench.start();
        return bench.gateway->callerAddress();
    });
    const auto callWith = [&node](const std::string &deadline) {
        RawConnection caller(node);
        caller.send("POST /r/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX-Request-Id: q1\r\n" + deadline
                    + "Content-Length: 0\r\n\r\n");
        return caller.readAll();
    };
    const std::string answer = callWith("X-Deadline-Ms: 4500\r\n");
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(has(answer, "Retry-After: 1.500\r\n"));
    CHECK(has(callWith({}), "Retry-After: 0.300\r\n"));
}

// A caller disconnects while a replica handles its request. Otherwise the replica would spend its capacity on an unused answer.
TEST_CASE("the request of a caller that disconnects is cancelled at the replica")
{
    bool isLeft = false;
    RunningGateway running([&isLeft](GatewayBench &bench) {
        bench.addReplica("i-1", "llm", [&isLeft](const std::shared_ptr<CallerExchange> &exchange) {
            sendEvents(exchange, 1);
            exchange->onDisconnect([&isLeft] {
                isLeft = true;
            });
        });
    });
    {
        RawConnection caller(running.address(&Gateway::callerAddress));
        caller.send("POST /o/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: q\r\nContent-Length: 0\r\n\r\n");
        caller.readUntil("id: 1");
    }
    await([&running, &isLeft] {
        return running.host.ask<bool>([&isLeft](GatewayBench &) {
            return isLeft;
        });
    });
}

TEST_CASE("a newer configuration comes into force, and an older one does not")
{
    RunningGateway running([](GatewayBench &bench) {
        bench.addReplica("i-1", "api", answerWhole);
    });
    const auto configure = [&running](const std::string &text) {
        running.host.ask<bool>([&text](GatewayBench &bench) {
            bench.configure(text);
            return true;
        });
    };
    configure(R"({"version":5,"routes":[{"name":"n","host":"h","prefix":"/n/","routeKind":"safe","service":"api"}],
        "services":[{"name":"api"}]})");
    await([&running] {
        return running.call("POST /n/x").starts_with("HTTP/1.1 200");
    });
    CHECK(running.call("POST /s/x").starts_with("HTTP/1.1 404"));
    configure(benchConfiguration);
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    CHECK(running.call("POST /n/x").starts_with("HTTP/1.1 200"));
}

// The store becomes unavailable and loses the entries of all replicas; after its return the replicas register again one by one.
// Callers are served throughout.
TEST_CASE("callers are served while the store is unavailable, and until the replicas have registered again")
{
    RunningGateway running([](GatewayBench &bench) {
        bench.settings.gateway.lapsedKept = std::chrono::seconds(5);
        bench.addReplica("i-1", "api", answerWhole);
    });
    const auto setResponseMode = [&running](StandInStore::ResponseMode responseMode) {
        running.host.ask<bool>([responseMode](GatewayBench &bench) {
            bench.store.setResponseMode(responseMode);
            return true;
        });
    };
    setResponseMode(StandInStore::ResponseMode::Busy);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    CHECK(running.call("POST /s/x").starts_with("HTTP/1.1 200"));
    running.host.ask<bool>([](GatewayBench &bench) {
        bench.store.rows().remove({"servers", "", "i-1"});
        return true;
    });
    setResponseMode(StandInStore::ResponseMode::Serving);
    std::this_thread::sleep_for(std::chrono::milliseconds(800));
    CHECK(running.call("POST /s/x").starts_with("HTTP/1.1 200"));
    running.host.ask<bool>([](GatewayBench &bench) {
        bench.registerReplica("i-1", "api", bench.replicas[0]->address(), "ready");
        return true;
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(6000));
    CHECK(running.call("POST /s/x").starts_with("HTTP/1.1 200"));
}

TEST_CASE("a batch job runs to completion, and its results can be read from any position")
{
    RunningGateway running([](GatewayBench &bench) {
        bench.addReplica("i-1", "llm", [](const std::shared_ptr<CallerExchange> &exchange) {
            if (exchange->body() == "impossible") {
                exchange->send(422, signedHeaders(exchange), {});
                return;
            }
            streamWhole(exchange);
        });
    });
    const auto item = [](const std::string &id, const std::string &body) {
        return nlohmann::json{
            {"id", id}, {"path", "/b/" + id}, {"headers", {{"X-Model", "m"}}}, {"body", encodeBase64(body)}, {"tokens", 9}};
    };
    const nlohmann::json job{{"requests", {item("a", "x"), item("b", "impossible"), item("c", "y")}}};
    CHECK(running.call("POST /b/job", {}, job.dump()).starts_with("HTTP/1.1 202"));
    std::string read;
    await([&running, &read] {
        read = running.call("GET /lots/q1?afterRev=0");
        return has(read, "\"next\":3");
    });
    CHECK(has(read, "\"total\":3"));
    CHECK(has(read, R"("output":"t1\nt2\nt3","state":"completed")"));
    CHECK(has(read, R"("id":"b","output":"","state":"abandoned")"));
    CHECK(has(running.call("GET /lots/q1?afterRev=2"), "\"next\":3"));
    CHECK(running.call("GET /lots/unknown?afterRev=0").starts_with("HTTP/1.1 404"));
    CHECK(running.call("POST /b/job", {}, job.dump()).starts_with("HTTP/1.1 202"));
}

TEST_CASE("the bodies of a job's items can be read until the caller deletes the job, which stops it")
{
    RunningGateway running([](GatewayBench &bench) {
        bench.addReplica("i-1", "llm", ignore);
    });
    const nlohmann::json job{{"requests", {{{"id", "a"}, {"path", "/b/a"}, {"body", encodeBase64("text")}, {"tokens", 9}}}}};
    CHECK(running.call("POST /b/job", {}, job.dump()).starts_with("HTTP/1.1 202"));
    CHECK(running.call("GET /items/q1?id=a").ends_with("text"));
    CHECK(running.call("DELETE /lots/q1").starts_with("HTTP/1.1 200"));
    CHECK(running.call("DELETE /lots/q1").starts_with("HTTP/1.1 200"));
    CHECK(running.call("GET /items/q1?id=a").starts_with("HTTP/1.1 404"));
}

// The store refuses one node and serves the other. The first has to reach it through the second: otherwise the results of jobs
// that run there would be delayed, and calls on jobs would be refused.
TEST_CASE("a node that the store refuses accepts and runs jobs through another node")
{
    RunningGateway running([](GatewayBench &bench) {
        bench.addReplica("i-1", "llm", streamWhole);
        bench.startOther();
    });
    const auto addressOfOther = [&running] {
        return running.host.ask<Address>([](GatewayBench &bench) {
            return bench.other->callerAddress();
        });
    };
    const auto callOther = [&addressOfOther](const std::string &startLine, const std::string &body) {
        RawConnection caller(addressOfOther());
        caller.send(startLine + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX-Request-Id: q9\r\nX-Deadline-Ms: 20000\r\n"
                    + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        return caller.readAll();
    };
    await([&running] {
        return running.host.ask<bool>([](GatewayBench &bench) {
            return bench.gateway->members() == 2 && bench.other->members() == 2;
        });
    });
    running.host.ask<bool>([](GatewayBench &bench) {
        bench.otherStoreRoute.setResponseMode(StandInStore::ResponseMode::Busy);
        return true;
    });
    const nlohmann::json job{{"requests", {{{"id", "a"}, {"path", "/b/a"}, {"body", ""}, {"tokens", 9}}}}};
    await([&callOther, &job] {
        return callOther("POST /b/job", job.dump()).starts_with("HTTP/1.1 202");
    });
    await([&callOther] {
        return has(callOther("GET /lots/q9?afterRev=0", {}), "\"next\":1");
    });
}

// A node starts while the store withholds the list of replicas. The dispatcher on another node assigns its requests slots at
// replicas that are not in its list. The node must not treat these as unusable before it has learned of them.
TEST_CASE("the callers of a node that does not know the replicas yet are served")
{
    RunningGateway running([](GatewayBench &bench) {
        bench.addReplica("i-1", "api", answerWhole);
        bench.addReplica("i-2", "llm", streamWhole);
        bench.otherStoreRoute.setUnavailableTable("servers");
    });
    const Address address = running.host.ask<Address>([](GatewayBench &bench) {
        bench.startOther();
        return bench.other->callerAddress();
    });
    const auto callOther = [&address](const std::string &target) {
        RawConnection caller(address);
        caller.send("POST " + target + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX-Request-Id: q\r\n"
                    + "X-Deadline-Ms: 20000\r\nContent-Length: 0\r\n\r\n");
        return caller.readAll();
    };
    // Status 404 for an unknown route shows that the node has a configuration.
    await([&callOther] {
        return callOther("/nowhere").starts_with("HTTP/1.1 404");
    });
    CHECK(callOther("/r/x").starts_with("HTTP/1.1 200"));
    CHECK(callOther("/s/x").starts_with("HTTP/1.1 200"));
}

// A node is stopped while it serves a request. It is no longer ready, finishes the request, and closes the caller's connection.
TEST_CASE("a node that stops finishes its open requests")
{
    std::shared_ptr<CallerExchange> held;
    RunningGateway running([&held](GatewayBench &bench) {
        bench.addReplica("i-1", "api", [&held](const std::shared_ptr<CallerExchange> &exchange) {
            held = exchange;
        });
    });
    RawConnection caller(running.address(&Gateway::callerAddress));
    caller.send("POST /u/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: q\r\nContent-Length: 0\r\n\r\n");
    await([&running, &held] {
        return running.host.ask<bool>([&held](GatewayBench &) {
            return held != nullptr;
        });
    });
    bool isStopped = false;
    running.host.ask<bool>([&isStopped](GatewayBench &bench) {
        bench.gateway->stop([&isStopped] {
            isStopped = true;
        });
        return true;
    });
    CHECK_FALSE(running.isReady());
    running.host.ask<bool>([&held](GatewayBench &) {
        answerWhole(std::exchange(held, nullptr));
        return true;
    });
    const std::string answer = caller.readAll();
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(has(answer, "Connection: close"));
    await([&running, &isStopped] {
        return running.host.ask<bool>([&isStopped](GatewayBench &) {
            return isStopped;
        });
    });
}

// A replica crashes and restarts at once under the same name and address. The node still has a dead connection to the former
// process, and has recorded its failures.
TEST_CASE("a replica that restarted under the same name gets neither connections nor failures of the former one")
{
    StandInReplica *replica = nullptr;
    RunningGateway running([&replica](GatewayBench &bench) {
        replica = &bench.addReplica("i-1", "api", answerWhole);
    });
    REQUIRE(running.call("POST /s/a").starts_with("HTTP/1.1 200"));
    running.host.ask<bool>([&replica](GatewayBench &bench) {
        bench.born += 1;
        bench.registerReplica("i-1", "api", replica->address(), "ready");
        return true;
    });
    await([&running] {
        return has(running.metrics(), "name=\"replicas_restarted\"} 1");
    });
    CHECK(running.call("POST /s/b").starts_with("HTTP/1.1 200"));
    const MessageHead head = running.host.ask<MessageHead>([&replica](GatewayBench &) {
        return replica->heads.back();
    });
    CHECK(head.headers.find("X-Expect-Instance") == "i-1");
}

// Another program overwrites the entry of the replica that gets the requests: they have to go to the other replica. Then the
// entry is restored and that of the other replica is overwritten: they have to go back.
TEST_CASE("a replica whose entry is unreadable gets no new requests until the entry is restored")
{
    const std::vector<std::string> names{"i-1", "i-2"};
    std::vector<StandInReplica *> replicas;
    RunningGateway running([&](GatewayBench &bench) {
        for (const std::string &name : names) {
            replicas.push_back(&bench.addReplica(name, "api", answerWhole));
        }
    });
    const auto served = [&](std::size_t which) {
        return running.host.ask<std::size_t>([&replicas, which](GatewayBench &) {
            return replicas[which]->heads.size();
        });
    };
    const auto corruptEntry = [&](std::size_t which) {
        running.host.ask<bool>([&](GatewayBench &bench) {
            bench.store.rows().put({"servers", "", names[which]}, "{\"service\":\"api\"}");
            bench.registerReplica(names[1 - which], "api", replicas[1 - which]->address(), "ready");
            return true;
        });
    };
    REQUIRE(running.call("POST /s/a").starts_with("HTTP/1.1 200"));
    const std::size_t first = served(0) > 0 ? 0 : 1;
    for (const std::size_t corrupted : {first, 1 - first}) {
        corruptEntry(corrupted);
        await([&] {
            const std::size_t before = served(1 - corrupted);
            REQUIRE(running.call("POST /s/a").starts_with("HTTP/1.1 200"));
            return served(1 - corrupted) > before;
        });
        const std::size_t before = served(corrupted);
        for (int call = 0; call < 6; ++call) {
            CHECK(running.call("POST /s/a").starts_with("HTTP/1.1 200"));
        }
        CHECK(served(corrupted) == before);
    }
    await([&running] {
        return has(running.metrics(), "name=\"replicas_unreadable\"} 1");
    });
}
