package org.peridotcourse.daemon.entry;

import java.io.IOException;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * One request of a caller and its only response, on top of Grizzly's suspended response. It is
 * thread-safe.
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

    /** Adds {@code Connection: close} to the response. */
    void closeAfterResponse() {
        closeRequested = true;
    }

    /**
     * Suspends Grizzly's response and reads the body of the request.
     *
     * @return the body, or empty if the request was already refused or its connection failed
     */
    Optional<byte[]> suspendAndReadBody() {
        response.suspend();
        if (!callerConnection.beginProcessing(clock.getAsLong())) {
            return Optional.empty();
        }
        try {
            return Optional.of(request.getInputStream().readAllBytes());
        } catch (IOException failed) {
            callerConnection.close();
            return Optional.empty();
        }
    }

    /** Sets a listener that is called once if the connection closes before the response is sent. */
    void onDisconnect(Runnable listener) {
        callerConnection.onDisconnect(listener);
    }

    /** Refuses a request whose body length is ambiguous, and closes the connection. */
    void refuseAndClose(CallerResponse callerResponse) {
        responded.set(true);
        response.suspend();
        callerConnection.refuse(callerResponse, clock.getAsLong());
    }

    /**
     * Sends the response on the selector thread of the connection. Grizzly loses track of the
     * connection when a response is resumed on another thread before its handler has returned.
     */
    @Override
    public void respond(CallerResponse callerResponse) {
        if (!responded.compareAndSet(false, true)) {
            return;
        }
        callerConnection.onResponse(callerResponse.body().length, budget);
        NIOConnection connection = (NIOConnection) request.getContext().getConnection();
        connection
                .getSelectorRunner()
                .getTransport()
                .getSelectorHandler()
                .enque(
                        connection.getSelectorRunner(),
                        () -> {
                            send(callerResponse);
                            return true;
                        },
                        null);
    }

    private void send(CallerResponse callerResponse) {
        response.setStatus(callerResponse.status());
        callerResponse
                .headers()
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
        response.setContentLength(callerResponse.body().length);
        callerConnection.endProcessing(budget, clock.getAsLong());
        try {
            response.getNIOOutputStream().write(callerResponse.body());
        } catch (IOException closed) {
            callerConnection.close();
        }
        // Grizzly recycles the request when the response is resumed.
        Connection<?> connection = request.getContext().getConnection();
        response.resume();
        callerConnection.onResponseQueued(callerResponse.body().length, budget, clock.getAsLong());
        try {
            CallerConnectionFilter.parseHeld(connection, budget);
        } catch (IOException closed) {
            callerConnection.close();
        }
    }
}
