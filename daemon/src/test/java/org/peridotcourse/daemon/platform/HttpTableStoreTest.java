package org.peridotcourse.daemon.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.peridotcourse.Result;
import org.peridotcourse.daemon.http.ChannelFactory;
import org.peridotcourse.daemon.log.DecisionRing;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.membership.Host;
import org.peridotcourse.membership.HostList;

/** Tests the clients of table service, host list and object store against scripted responses. */
class HttpTableStoreTest {
    private static final long TIMEOUT_MILLIS = 300;
    private final EventLog log = new EventLog(System.getLogger("test"), new DecisionRing(1));
    private ScriptedHttpServer server;
    private ChannelFactory factory;
    private HttpTableStore store;

    @BeforeEach
    void start() throws Exception {
        server = new ScriptedHttpServer();
        factory = new ChannelFactory(1 << 20);
        store = new HttpTableStore(factory, server.address(), TIMEOUT_MILLIS, log);
    }

    @AfterEach
    void stop() throws Exception {
        store.close();
        factory.close();
        server.close();
    }

    private static Transaction transaction() {
        return Transaction.builder("w1")
                .check("t", "a/b", 3)
                .put("t", "a/b", JsonNodeFactory.instance.objectNode().put("x", 1))
                .delete("t", "old")
                .build();
    }

    /**
     * Guards against wrong encoding of keys, pages and removed rows, and against a new connection
     * for each call.
     */
    @Test
    void readsRowsOverOneConnection() {
        server.replies.add(ScriptedHttpServer.reply(200, "{'commit':9,'row':null}"));
        server.replies.add(
                ScriptedHttpServer.reply(
                        200,
                        "{'commit':9,'rows':["
                                + "{'key':'a','commit':4,'writer':'w',"
                                + "'value':{'x':1}},"
                                + "{'key':'b','commit':5,'writer':'v',"
                                + "'deleted':true}],'more':true}"));
        assertEquals(Result.ok(Optional.empty()), store.row("t", "a/b c"));
        RowPage page = store.rows("t", "p", 3, 2).toOptional().orElseThrow();
        assertEquals(List.of("a", "b"), page.rows().stream().map(Row::key).toList());
        assertTrue(page.more() && page.rows().get(1).value().isEmpty());
        assertEquals("GET /v1/rows/t?key=a%2Fb+c", server.requests.get(0));
        assertEquals("GET /v1/rows/t?prefix=p&since=3&limit=2", server.requests.get(1));
        assertEquals(1, server.connections.get());
    }

    /**
     * Guards against a write that is reported as failed although its response was lost, malformed
     * or a server error, so that it may have taken effect.
     */
    @Test
    void writeWithoutClearResponseIsUnknown() {
        server.replies.addAll(
                List.of(
                        ScriptedHttpServer.NO_REPLY,
                        ScriptedHttpServer.CLOSE_CONNECTION,
                        ScriptedHttpServer.reply(503, "{}"),
                        ScriptedHttpServer.reply(200, "not json"),
                        ScriptedHttpServer.reply(
                                409, "{'conflicts':[{'table':'t','key':'a/b','commit':7}]}"),
                        ScriptedHttpServer.reply(200, "{'commit':8}")));
        for (int i = 0; i < 4; i++) {
            assertEquals(new WriteOutcome.Unknown(), store.write(transaction()));
        }
        assertEquals(
                new WriteOutcome.Conflict(List.of(new WriteOutcome.Mismatch("t", "a/b", 7))),
                store.write(transaction()));
        assertEquals(new WriteOutcome.Committed(8), store.write(transaction()));
        assertEquals(
                ScriptedHttpServer.quoted(
                        "POST /v1/transactions {'id':'w1',"
                                + "'checks':[{'table':'t','key':'a/b','commit':3}],"
                                + "'puts':[{'table':'t','key':'a/b','value':{'x':1}}],"
                                + "'deletes':[{'table':'t','key':'old'}]}"),
                server.requests.get(5));
    }

    /** Guards against a write that the connection sends twice when its response is lost. */
    @Test
    void writeIsSentOncePerCall() {
        server.replies.add(ScriptedHttpServer.reply(200, "{'commit':1,'row':null}"));
        server.replies.add(ScriptedHttpServer.CLOSE_CONNECTION);
        store.row("t", "a");
        assertEquals(new WriteOutcome.Unknown(), store.write(transaction()));
        assertEquals(2, server.requests.size());
    }

    /** Guards against a read that fails because the platform closed an idle connection. */
    @Test
    void readSurvivesClosedIdleConnection() {
        server.replies.add(ScriptedHttpServer.reply(200, "{'commit':1,'row':null}"));
        server.replies.add(ScriptedHttpServer.CLOSE_CONNECTION);
        server.replies.add(ScriptedHttpServer.reply(200, "{'commit':2,'row':null}"));
        assertTrue(store.row("t", "a").isOk());
        assertTrue(store.row("t", "a").isOk());
        assertEquals(2, server.connections.get());
    }

    /** Guards against an unresponsive platform that blocks a duty for longer than the time-out. */
    @Test
    void unansweredReadFailsAfterTimeOut() {
        server.replies.add(ScriptedHttpServer.NO_REPLY);
        long startNanos = System.nanoTime();
        assertEquals(Result.failed(StoreFailure.UNAVAILABLE), store.row("t", "a"));
        assertTrue((System.nanoTime() - startNanos) / 1_000_000 < 10 * TIMEOUT_MILLIS);
    }

    /** Guards against one malformed entry that makes the rest of the list unavailable. */
    @Test
    void hostListSkipsMalformedEntries() {
        server.replies.add(
                ScriptedHttpServer.reply(
                        200,
                        "{'ageMillis':700,'hosts':[{'host':'b1',"
                                + "'role':'backend','dataCentre':'xela',"
                                + "'rack':'r1','address':'127.0.0.1:80',"
                                + "'state':'leaving','service':'despacho',"
                                + "'slots':8,'connections':64},"
                                + "{'host':'b 2','role':'backend'}]}"));
        HostList list =
                new HttpHostList(factory, server.address(), TIMEOUT_MILLIS, log)
                        .hosts()
                        .toOptional()
                        .orElseThrow();
        assertEquals(1, list.skipped());
        Host host = list.ofRole(Host.Role.BACKEND).get(0);
        assertTrue(host.leaving());
        assertEquals(8, host.serving().orElseThrow().slots());
    }

    /** Guards against an absent object that is reported as an outage. */
    @Test
    void absentObjectIsEmpty() {
        HttpObjectStore objects =
                new HttpObjectStore(factory, server.address(), TIMEOUT_MILLIS, log);
        server.replies.add(ScriptedHttpServer.reply(404, "{}"));
        server.replies.add(ScriptedHttpServer.reply(201, ""));
        assertEquals(Result.ok(Optional.empty()), objects.read("checkpoints/a"));
        assertEquals(Result.ok(2), objects.write("checkpoints/a", new byte[2]));
        assertEquals(Result.failed(StoreFailure.UNAVAILABLE), objects.read("gone"));
    }
}
