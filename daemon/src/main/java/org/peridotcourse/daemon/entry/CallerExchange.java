package org.peridotcourse.daemon.entry;

import java.io.IOException;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * One complete request of a caller over Grizzly's suspended response, which gets one response. It
 * is thread-safe.
 */
final class CallerExchange implements Caller {
    private final String id;
    private final Request request;
    private final Response response;
    private final CallerConnection callerConnection;
    private final LongSupplier clock;
    private final BodyBudget budget;
    private final AtomicBoolean responded = new AtomicBoolean();

    private volatile boolean closeRequested;

    CallerExchange(
            String id, Request request, Response response, LongSupplier clock, BodyBudget budget) {
        this.id = id;
        this.request = request;
        this.response = response;
        this.callerConnection = CallerConnectionFilter.of(request.getContext().getConnection());
        this.clock = clock;
        this.budget = budget;
    }

    String id() {
        return id;
    }

    /** Asks the caller to close its connection after the response. */
    void closeAfterResponse() {
        closeRequested = true;
    }

    /**
     * Suspends the response.
     *
     * @return the body, or empty if the request was refused before or its connection is broken
     */
    Optional<byte[]> suspendAndReadBody() {
        response.suspend();
        callerConnection.onHead(clock.getAsLong());
        if (!callerConnection.beginProcessing(clock.getAsLong())) {
            return Optional.empty();
        }
        try {
            return Optional.of(request.getInputStream().readAllBytes());
        } catch (IOException broken) {
            callerConnection.close();
            return Optional.empty();
        }
    }

    /** Calls back once if the connection ends before the response. */
    void onDisconnect(Runnable listener) {
        callerConnection.onDisconnect(listener);
    }

    /** Refuses a request whose end is not known, and closes the connection. */
    void refuseAndClose(CallerResponse answer) {
        responded.set(true);
        response.suspend();
        callerConnection.refuse(answer, clock.getAsLong());
    }

    /**
     * Sends on the selector thread of the connection. Grizzly loses track of the connection when a
     * response is resumed on another thread before its handler has returned.
     */
    @Override
    public void respond(CallerResponse answer) {
        if (!responded.compareAndSet(false, true)) {
            return;
        }
        callerConnection.onResponse(answer.body().length, budget);
        NIOConnection connection = (NIOConnection) request.getContext().getConnection();
        connection
                .getSelectorRunner()
                .getTransport()
                .getSelectorHandler()
                .enque(
                        connection.getSelectorRunner(),
                        () -> {
                            send(answer);
                            return true;
                        },
                        null);
    }

    private void send(CallerResponse answer) {
        response.setStatus(answer.status());
        answer.headers()
                .forEach(
                        header -> {
                            if (header.getKey().toLowerCase(Locale.ROOT).equals("content-type")) {
                                response.setContentType(header.getValue());
                            } else {
                                response.addHeader(header.getKey(), header.getValue());
                            }
                        });
        if (closeRequested) {
            response.setHeader("Connection", "close");
        } else if (request.getRequest().getProcessingState().isKeepAlive()) {
            CallerCodec.keepOpen(request.getRequest());
        }
        response.setContentLength(answer.body().length);
        callerConnection.endProcessing(budget, clock.getAsLong());
        try {
            response.getNIOOutputStream().write(answer.body());
        } catch (IOException gone) {
            callerConnection.close();
        }
        response.resume();
        callerConnection.onResponseQueued(answer.body().length, budget, clock.getAsLong());
    }
}
