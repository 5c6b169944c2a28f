package org.peridotcourse.daemon.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.http.util.MimeHeaders;
import org.peridotcourse.routing.NotRunReason;

/**
 * Receives complete requests from Grizzly. It is thread-safe and does not block.
 *
 * <p>Subclasses pass them on for processing.
 */
abstract class CallerHandler extends HttpHandler {
    private final RequestIds ids;
    private final LongSupplier clock;
    private final BodyBudget budget;

    private volatile boolean closeRequested;

    CallerHandler(RequestIds ids, BodyBudget budget, LongSupplier clock) {
        this.ids = ids;
        this.budget = budget;
        this.clock = clock;
    }

    /** Passes a complete request on; its response is sent later. */
    abstract void handle(IncomingCall call, CallerExchange exchange);

    /** Adds {@code Connection: close} to the responses to all later requests. */
    final void closeConnections() {
        closeRequested = true;
    }

    /** Refuses a request because the event ring is full. */
    static void refuseRingFull(CallerExchange exchange) {
        exchange.respond(
                Responses.notRun(
                        exchange.id(), NotRunReason.RING_FULL, EntryHandler.RETRY_AFTER_MILLIS));
    }

    @Override
    public final void service(Request request, Response response) {
        String id = ids.next();
        CallerExchange exchange = new CallerExchange(id, request, response, clock, budget);
        if (closeRequested) {
            exchange.closeAfterResponse();
        }
        Map<String, List<String>> headers = toMap(request.getRequest().getHeaders());
        Optional<MalformedRequest> framing = RequestParser.checkFraming(headers);
        if (framing.isPresent()) {
            exchange.refuseAndClose(Responses.malformed(id, framing.get()));
            return;
        }
        Optional<byte[]> body = exchange.suspendAndReadBody();
        if (body.isEmpty()) {
            return;
        }
        handle(
                new IncomingCall(
                        id,
                        request.getMethod().getMethodString(),
                        request.getRequestURI(),
                        Optional.ofNullable(request.getQueryString()),
                        headers,
                        body.get()),
                exchange);
    }

    private static Map<String, List<String>> toMap(MimeHeaders mime) {
        Map<String, List<String>> headers = new HashMap<>();
        for (int i = 0; i < mime.size(); i++) {
            headers.computeIfAbsent(
                            mime.getName(i).toString().toLowerCase(Locale.ROOT),
                            name -> new ArrayList<>(1))
                    .add(mime.getValue(i).toString());
        }
        return headers;
    }
}
