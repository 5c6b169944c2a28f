package org.peridotcourse.daemon.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.peridotcourse.Failure;
import org.peridotcourse.Result;
import org.peridotcourse.daemon.ring.EventLoop;

/** Calls to a server of which one path answers at once and the other one never. */
class PooledHttpClientTest {
    private static final long WAIT_SECONDS = 10;
    private static final long TIMEOUT_MILLIS = 400;
    private static final long LONG_TIMEOUT_MILLIS = 5_000;
    private static final int MAX_BODY = 1_024;

    private final CountDownLatch closing = new CountDownLatch(1);
    private final ExecutorService serverThreads = Executors.newCachedThreadPool();
    private final List<Integer> portsOfQuickCalls = new CopyOnWriteArrayList<>();
    private volatile String lastBody = "";
    private HttpServer server;
    private ChannelFactory factory;
    private EventLoop loop;
    private PooledHttpClient client;

    @BeforeEach
    void open() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(serverThreads);
        server.createContext("/quick", this::answer);
        server.createContext("/silent", exchange -> awaitClosing());
        server.start();
        factory = new ChannelFactory(MAX_BODY);
        loop = new EventLoop("test", 1_024, error -> {});
        client = new PooledHttpClient(factory, loop);
        loop.start();
    }

    @AfterEach
    void close() throws IOException {
        closing.countDown();
        loop.close();
        factory.close();
        server.stop(0);
        serverThreads.shutdownNow();
    }

    private void answer(HttpExchange exchange) throws IOException {
        portsOfQuickCalls.add(exchange.getRemoteAddress().getPort());
        lastBody = new String(exchange.getRequestBody().readAllBytes());
        exchange.sendResponseHeaders(200, -1);
        exchange.close();
    }

    private void awaitClosing() {
        try {
            closing.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private CompletableFuture<Result<HttpReply>> call(String path, long timeout, int maxActive) {
        CompletableFuture<Result<HttpReply>> outcome = new CompletableFuture<>();
        HttpCall call = HttpCall.json("POST", path, new byte[0]);
        loop.post(
                () ->
                        client.call(
                                server.getAddress(), call, timeout, maxActive, outcome::complete));
        return outcome;
    }

    private static Optional<Failure> failure(CompletableFuture<Result<HttpReply>> outcome)
            throws Exception {
        return outcome.get(WAIT_SECONDS, TimeUnit.SECONDS).failure();
    }

    /** Guards against a call that was never sent being taken for a failure of the server. */
    @Test
    void aCallThatWaitsForItsTurnUntilItsTimeoutExpires() throws Exception {
        CompletableFuture<Result<HttpReply>> first = call("/silent", LONG_TIMEOUT_MILLIS, 1);
        CompletableFuture<Result<HttpReply>> second = call("/quick", TIMEOUT_MILLIS, 1);
        assertEquals(Optional.of(ChannelFailure.EXPIRED), failure(second));
        assertEquals(List.of(), portsOfQuickCalls);
        assertEquals(false, first.isDone());
    }

    /** Guards against new connections for all calls after each call that times out. */
    @Test
    void aConnectionThatHasAnsweredSinceOutlivesTheTimeoutOfAnotherCall() throws Exception {
        CompletableFuture<Result<HttpReply>> silent = call("/silent", TIMEOUT_MILLIS, 4);
        assertEquals(Optional.empty(), failure(call("/quick", LONG_TIMEOUT_MILLIS, 4)));
        assertEquals(Optional.of(ChannelFailure.TIMED_OUT), failure(silent));
        assertEquals(Optional.empty(), failure(call("/quick", LONG_TIMEOUT_MILLIS, 4)));
        assertEquals(1, portsOfQuickCalls.stream().distinct().count());
    }

    /** Guards against calls on connections that have gone silent together with another one. */
    @Test
    void aConnectionThatWasIdleBeforeTheCallIsClosedWithItsTimeout() throws Exception {
        CompletableFuture<Result<HttpReply>> other = call("/quick", LONG_TIMEOUT_MILLIS, 4);
        CompletableFuture<Result<HttpReply>> idle = call("/quick", LONG_TIMEOUT_MILLIS, 4);
        assertEquals(Optional.empty(), failure(other));
        assertEquals(Optional.empty(), failure(idle));
        CompletableFuture<Result<HttpReply>> silent = call("/silent", TIMEOUT_MILLIS, 4);
        assertEquals(Optional.of(ChannelFailure.TIMED_OUT), failure(silent));
        assertEquals(Optional.empty(), failure(call("/quick", LONG_TIMEOUT_MILLIS, 4)));
        assertEquals(3, portsOfQuickCalls.stream().distinct().count());
    }

    /**
     * Guards against an acknowledgement for one process of a worker that its next process at the
     * same address receives.
     */
    @Test
    void aCallForAnEarlierProcessIsNotSentOnALaterConnection() throws Exception {
        long before = loop.nowMillis();
        assertEquals("otherwise", bodyOfBoundCall(before), "no connection is open");
        while (loop.nowMillis() <= before + 1) {
            Thread.onSpinWait();
        }
        assertEquals("otherwise", bodyOfBoundCall(before), "opened after the process was seen");
        assertEquals("bound", bodyOfBoundCall(Long.MAX_VALUE), "opened before");
        assertEquals(1, portsOfQuickCalls.stream().distinct().count());
    }

    private String bodyOfBoundCall(long openedBefore) throws Exception {
        CompletableFuture<Result<HttpReply>> outcome = new CompletableFuture<>();
        PooledHttpClient.BoundCall call =
                new PooledHttpClient.BoundCall(
                        () -> HttpCall.json("POST", "/quick", "bound".getBytes()),
                        openedBefore,
                        () -> HttpCall.json("POST", "/quick", "otherwise".getBytes()));
        loop.post(
                () ->
                        client.call(
                                server.getAddress(),
                                call,
                                LONG_TIMEOUT_MILLIS,
                                4,
                                outcome::complete));
        assertEquals(Optional.empty(), failure(outcome));
        return lastBody;
    }
}
